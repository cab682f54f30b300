import type RequestError from './RequestError';
import type CallerResponse from './CallerResponse';

/** Outcome name and JSON body of a refusal. */
export default function errorBody(
  { outcome = 'invalid', reason, findings }: RequestError,
  retryAfterMs: number,
): Pick<CallerResponse, 'outcome' | 'body'> {
  const retry = retryAfterMs > 0 ? { retryAfterMs } : {};
  const body = Buffer.from(JSON.stringify({ outcome, reason, findings, ...retry }));
  return { outcome, body };
}
