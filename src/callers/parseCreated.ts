import type { IncomingHttpHeaders } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import headerOf from './headerOf';
import type RequestError from './RequestError';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const MILLISECONDS = /^\d{12,14}$/;
const MAX_ID_LENGTH = 200;

/**
 * When the caller made an id, in milliseconds since the epoch: read from a
 * UUIDv7, or from the header `Magnoliakeel-Created` that comes with any other id.
 */
export default function parseCreated(
  id: string,
  headers: IncomingHttpHeaders,
): Result<number, RequestError> {
  if (id.length > MAX_ID_LENGTH) {
    return err({ status: 400, reason: `id: longer than ${MAX_ID_LENGTH} characters` });
  }
  if (UUID_V7.test(id)) return ok(parseInt(id.replaceAll('-', '').slice(0, 12), 16));
  const created = headerOf(headers, 'magnoliakeel-created');
  if (created !== undefined && MILLISECONDS.test(created)) return ok(Number(created));
  const reason =
    created === undefined
      ? `id: "${id}" carries no time; expected a UUIDv7, or the header Magnoliakeel-Created`
      : `header Magnoliakeel-Created: found "${created}", expected milliseconds since the epoch`;
  return err({ status: 400, reason });
}
