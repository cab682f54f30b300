import { request } from 'undici';

interface StoredView {
  readonly number: string;
  readonly sinceMs: string;
  readonly members: readonly { readonly incarnation: string }[];
  readonly past?: readonly object[];
}

/** Past views that are kept; a long-lived system has about as many. */
const PAST_KEPT = 4;

/** Writes a view that follows the stored one with the same members, and returns its number. */
export default async function putNextView(platform: string): Promise<number> {
  const url = `http://${platform}/v1/keys/view`;
  const item = (await (await request(url)).body.json()) as { value: string };
  const view = JSON.parse(item.value) as StoredView;
  const number = Number(view.number) + 1;
  const incarnations = view.members.map(({ incarnation }) => incarnation);
  const sinceMs = String(Date.now());
  const replaced = { number: view.number, sinceMs: view.sinceMs, untilMs: sinceMs, incarnations };
  const past = [...(view.past ?? []), replaced].slice(-PAST_KEPT);
  const next = { ...view, number: String(number), sinceMs, past };
  const { body } = await request(url, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ value: JSON.stringify(next) }),
  });
  await body.dump();
  return number;
}
