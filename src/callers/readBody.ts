import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type ByteBudget from './ByteBudget';
import type RequestError from './RequestError';

/**
 * Reads a request's whole body, but never keeps more than the limit in memory,
 * and nothing beyond the budget that all requests share; a body that was read
 * stays taken from it. The rest of a refused one is read and thrown away, so
 * that its sender gets to see the refusal.
 */
export default function readBody(
  req: IncomingMessage,
  limitBytes: number,
  budget: ByteBudget,
  whenFull: RequestError,
): Promise<Result<Buffer, RequestError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const refuse = (error: RequestError) => {
      req.off('data', take);
      req.off('close', cutOff);
      req.resume();
      chunks.length = 0;
      budget.give(length);
      resolve(err(error));
    };
    const cutOff = () => refuse(CUT_OFF);
    function take(chunk: Buffer): void {
      if (length + chunk.length > limitBytes) {
        const reason = `body: larger than the limit of ${limitBytes} bytes`;
        refuse({ status: 413, reason });
        return;
      }
      if (!budget.take(chunk.length)) {
        refuse(whenFull);
        return;
      }
      length += chunk.length;
      chunks.push(chunk);
    }
    req.on('data', take);
    req.on('error', () => req.destroy());
    req.on('close', cutOff);
    req.on('end', () => {
      req.off('close', cutOff);
      resolve(ok(Buffer.concat(chunks)));
    });
  });
}

const CUT_OFF: RequestError = { status: 400, reason: 'body: it was cut off before its end' };
