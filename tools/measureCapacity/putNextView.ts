import { request } from 'undici';

interface StoredView {
  readonly number: string;
  readonly sinceMs: string;
  readonly members: readonly { readonly incarnation: string }[];
  readonly past?: readonly object[];
}

/** Number of previous views kept in the record; a long-lived system has about as many. */
const PREVIOUS_VIEWS = 4;

/** Writes a successor of the stored view with the same members, and returns its number. */
export default async function putNextView(platform: string): Promise<number> {
  const url = `http://${platform}/v1/keys/view`;
  const item = (await (await request(url)).body.json()) as { value: string };
  const view = JSON.parse(item.value) as StoredView;
  const number = Number(view.number) + 1;
  const incarnations = view.members.map(({ incarnation }) => incarnation);
  const sinceMs = String(Date.now());
  const replaced = { number: view.number, sinceMs: view.sinceMs, untilMs: sinceMs, incarnations };
  const past = [...(view.past ?? []), replaced].slice(-PREVIOUS_VIEWS);
  const next = { ...view, number: String(number), sinceMs, past };
  const { body } = await request(url, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ value: JSON.stringify(next) }),
  });
  await body.dump();
  return number;
}
