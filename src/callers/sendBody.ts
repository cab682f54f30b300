import type { ServerResponse } from 'node:http';
import type ResponseBody from './ResponseBody';

/** Writes a complete JSON response; its length goes ahead, so that a cut one shows. */
export default function sendBody(
  res: ServerResponse,
  { status, outcome, body, retryAfterMs }: ResponseBody,
): void {
  if (retryAfterMs > 0) res.setHeader('Retry-After', Math.ceil(retryAfterMs / 1000));
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Magnoliakeel-Outcome': outcome,
  });
  res.end(body);
}
