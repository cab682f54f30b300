import type { ServerResponse } from 'node:http';
import type CallerResponse from './CallerResponse';

/** Writes a complete JSON response, with `Content-Length` so that the caller can detect a truncated body. */
export default function sendBody(
  res: ServerResponse,
  { status, outcome, body, retryAfterMs }: CallerResponse,
): void {
  if (retryAfterMs > 0) res.setHeader('Retry-After', Math.ceil(retryAfterMs / 1000));
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Magnoliakeel-Outcome': outcome,
  });
  res.end(body);
}
