import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type RequestError from './RequestError';

/** Reads a request's whole body, but never keeps more than the limit in memory. */
export default async function readBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, RequestError>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > limitBytes) return err(tooLarge(limitBytes));
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of req) {
      length += (chunk as Buffer).length;
      if (length > limitBytes) return err(tooLarge(limitBytes));
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err({ status: 400, reason: 'body: it was cut off before its end' });
  }
  return ok(Buffer.concat(chunks));
}

function tooLarge(limitBytes: number): RequestError {
  return { status: 413, reason: `body: it is larger than the limit of ${limitBytes} bytes` };
}
