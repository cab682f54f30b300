import { err, ok, type Result } from 'neverthrow';

/** Reads a body as JSON. The error says what is wrong and at which line and column. */
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
    const at = positionIn(text, message);
    return err(
      `${at === undefined ? '' : `${placeOf(text, at)}: `}not well-formed JSON: ${message}`,
    );
  }
}

/** The offset that the parser's message gives, in figures or by the text around it. */
function positionIn(text: string, message: string): number | undefined {
  const stated = / at position (\d+)/.exec(message);
  if (stated) return Number(stated[1]);
  if (message.startsWith('Unexpected end')) return text.length;
  const quoted =
    /^Unexpected token '(.+)', (?:\.\.\.)?"([^]*)"(?:\.\.\.)? is not valid JSON$/u.exec(message);
  if (!quoted) return undefined;
  const [, token, around] = quoted;
  const start = text.indexOf(around!);
  const isOnlyPlace = start >= 0 && text.indexOf(around!, start + 1) < 0;
  const within = tokenIn(around!, token!, message.includes('..."'));
  return isOnlyPlace && within !== undefined ? start + within : undefined;
}

/** The parser quotes ten characters before the token, fewer only at the start of the text. */
function tokenIn(around: string, token: string, isCutBefore: boolean): number | undefined {
  if (isCutBefore) return CONTEXT;
  const at = around.indexOf(token);
  return around.indexOf(token, at + 1) < 0 ? at : undefined;
}

const CONTEXT = 10;

function placeOf(text: string, at: number): string {
  const before = text.slice(0, at).split('\n');
  return `line ${before.length}, column ${before.at(-1)!.length + 1}`;
}
