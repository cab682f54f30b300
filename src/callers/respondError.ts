import type { ServerResponse } from 'node:http';
import type RequestError from './RequestError';

/** Answers a request that could not be acted upon. Only outcomes other than `unknown` say that nothing was run. */
export default function respondError(res: ServerResponse, { status, reason }: RequestError): void {
  if (res.destroyed || res.headersSent) return;
  const outcome = outcomes[status] ?? 'invalid';
  const body = Buffer.from(JSON.stringify({ outcome, reason }));
  if (status >= UNAVAILABLE) res.setHeader('Retry-After', RETRY_AFTER_S);
  if (status === TOO_LARGE) res.setHeader('Connection', 'close');
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Magnoliakeel-Outcome': outcome,
  });
  res.end(body);
}

/** Outcomes of the statuses that do not put it down to the request. */
const outcomes: Readonly<Record<number, string>> = {
  500: 'unknown',
  503: 'not-run',
  504: 'unknown',
};

const UNAVAILABLE = 503;
const TOO_LARGE = 413;
const RETRY_AFTER_S = 1;
