import type { ServerResponse } from 'node:http';
import errorBody from './errorBody';
import type RequestError from './RequestError';
import sendBody from './sendBody';

/** Writes a refusal; nothing was run for this request. */
export default function respondError(
  res: ServerResponse,
  error: RequestError,
  retryAfterMs: number,
): void {
  if (error.allow !== undefined) res.setHeader('Allow', error.allow);
  sendBody(res, { status: error.status, ...errorBody(error, retryAfterMs), retryAfterMs });
}
