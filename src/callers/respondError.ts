import type { ServerResponse } from 'node:http';
import type RequestError from './RequestError';

/** Refuses a request that is not acceptable as it stands; nothing of it was run. */
export default function respondError(res: ServerResponse, { status, reason }: RequestError): void {
  if (res.destroyed || res.headersSent) return;
  const outcome = status === UNAVAILABLE ? 'not-run' : 'invalid';
  const body = Buffer.from(JSON.stringify({ outcome, reason }));
  if (status === UNAVAILABLE) res.setHeader('Retry-After', RETRY_AFTER_S);
  if (status === TOO_LARGE) res.setHeader('Connection', 'close');
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Magnoliakeel-Outcome': outcome,
  });
  res.end(body);
}

const UNAVAILABLE = 503;
const TOO_LARGE = 413;
const RETRY_AFTER_S = 1;
