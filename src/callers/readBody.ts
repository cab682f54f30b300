import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type ByteBudget from './ByteBudget';
import type RequestError from './RequestError';

/**
 * Reads a request's whole body. It buffers at most the limit, and no more than is
 * left of the budget that all requests share; the bytes of a complete body stay
 * reserved. The rest of a refused body is read and discarded, so that its sender
 * gets to read the refusal.
 */
export default function readBody(
  req: IncomingMessage,
  limitBytes: number,
  budget: ByteBudget,
  budgetExceeded: RequestError,
): Promise<Result<Buffer, RequestError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const refuse = (error: RequestError) => {
      req.off('data', addChunk);
      req.off('close', handleClose);
      req.resume();
      chunks.length = 0;
      budget.release(length);
      resolve(err(error));
    };
    const handleClose = () => refuse(INCOMPLETE_BODY);
    function addChunk(chunk: Buffer): void {
      if (length + chunk.length > limitBytes) {
        const reason = `body: larger than the limit of ${limitBytes} bytes`;
        refuse({ status: 413, reason });
        return;
      }
      if (!budget.tryReserve(chunk.length)) {
        refuse(budgetExceeded);
        return;
      }
      length += chunk.length;
      chunks.push(chunk);
    }
    req.on('data', addChunk);
    req.on('error', () => req.destroy());
    req.on('close', handleClose);
    req.on('end', () => {
      req.off('close', handleClose);
      resolve(ok(Buffer.concat(chunks)));
    });
  });
}

const INCOMPLETE_BODY: RequestError = {
  status: 400,
  reason: 'body: it was cut off before its end',
};
