import { err, ok, type Result } from 'neverthrow';

/** Parses a body as JSON. The error gives the reason and, if known, the line and column. */
export default function parseJson(body: Buffer): Result<unknown, string> {
  let text: string;
  try {
    text = new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    return err('found bytes that are not UTF-8, expected JSON');
  }
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const { message } = error as Error;
    const at = offsetFromMessage(text, message);
    return err(
      `${at === undefined ? '' : `${lineAndColumnOf(text, at)}: `}not well-formed JSON: ${message}`,
    );
  }
}

/** Offset of the error, which the parser's message states as a number or by quoting the text around it. */
function offsetFromMessage(text: string, message: string): number | undefined {
  const stated = / at position (\d+)/.exec(message);
  if (stated) return Number(stated[1]);
  if (message.startsWith('Unexpected end')) return text.length;
  const quoted =
    /^Unexpected token '(.+)', (?:\.\.\.)?"([^]*)"(?:\.\.\.)? is not valid JSON$/u.exec(message);
  if (!quoted) return undefined;
  const [, token, excerpt] = quoted;
  const start = text.indexOf(excerpt!);
  const isUnique = start >= 0 && text.indexOf(excerpt!, start + 1) < 0;
  const offsetInExcerpt = tokenOffset(excerpt!, token!, message.includes('..."'));
  return isUnique && offsetInExcerpt !== undefined ? start + offsetInExcerpt : undefined;
}

/** Offset in the excerpt: the parser quotes ten characters before the token, fewer only at the start of the text. */
function tokenOffset(
  excerpt: string,
  token: string,
  isTruncatedBefore: boolean,
): number | undefined {
  if (isTruncatedBefore) return QUOTED_CHARS_BEFORE_TOKEN;
  const at = excerpt.indexOf(token);
  return excerpt.indexOf(token, at + 1) < 0 ? at : undefined;
}

const QUOTED_CHARS_BEFORE_TOKEN = 10;

function lineAndColumnOf(text: string, at: number): string {
  const before = text.slice(0, at).split('\n');
  return `line ${before.length}, column ${before.at(-1)!.length + 1}`;
}
