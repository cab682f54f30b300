import type RequestError from './RequestError';
import type ResponseBody from './ResponseBody';

/** The outcome and the JSON body of a refusal. */
export default function errorBody(
  { status, reason, findings }: RequestError,
  retryAfterMs: number,
): Pick<ResponseBody, 'outcome' | 'body'> {
  const outcome = outcomes[status] ?? 'invalid';
  const retry = retryAfterMs > 0 ? { retryAfterMs } : {};
  const body = Buffer.from(JSON.stringify({ outcome, reason, findings, ...retry }));
  return { outcome, body };
}

/** Outcomes of the statuses that do not put it down to the request. */
const outcomes: Readonly<Record<number, string>> = {
  500: 'unknown',
  503: 'not-run',
  504: 'unknown',
};
