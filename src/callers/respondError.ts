import type { ServerResponse } from 'node:http';
import errorBody from './errorBody';
import type RequestError from './RequestError';
import sendBody from './sendBody';

/** Refuses a request that is not acceptable as it stands; nothing of it was run. */
export default function respondError(
  res: ServerResponse,
  error: RequestError,
  retryAfterMs: number,
): void {
  if (error.allow !== undefined) res.setHeader('Allow', error.allow);
  sendBody(res, { status: error.status, ...errorBody(error, retryAfterMs), retryAfterMs });
}
