import type { IncomingMessage } from 'node:http';
import type RequestError from './RequestError';

/** Checks the headers about a request's body before it is read; undefined if they are acceptable. */
export default function checkBodyHeaders(
  { headers }: IncomingMessage,
  limitBytes: number,
): RequestError | undefined {
  const encoding = headers['content-encoding'];
  if (encoding !== undefined && encoding !== 'identity') {
    const reason = `header Content-Encoding: found "${encoding}", expected none`;
    return { status: 415, reason };
  }
  const declared = Number(headers['content-length'] ?? 0);
  if (declared <= limitBytes) return undefined;
  const reason = `body: ${declared} bytes announced, expected at most ${limitBytes}`;
  return { status: 413, reason };
}
