import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type RequestError from './RequestError';

/**
 * Reads a request's whole body, but never keeps more than the limit in memory.
 * The rest of a larger one is read and thrown away, so that its sender gets to
 * see the refusal.
 */
export default function readBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, RequestError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const take = (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      req.off('data', take);
      chunks.length = 0;
      req.resume();
      resolve(err({ status: 413, reason: `body: larger than the limit of ${limitBytes} bytes` }));
    };
    req.on('data', take);
    req.on('end', () => resolve(ok(Buffer.concat(chunks))));
    req.on('error', () => resolve(err(CUT_OFF)));
    req.on('close', () => resolve(err(CUT_OFF)));
  });
}

const CUT_OFF: RequestError = { status: 400, reason: 'body: it was cut off before its end' };
