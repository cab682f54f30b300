import type { IncomingHttpHeaders } from 'node:http';
import headerOf from './headerOf';
import type RequestFindings from './RequestFindings';

/**
 * When the caller made an id, in milliseconds since the epoch: read from a
 * UUIDv7, or from the header `Magnoliakeel-Created` that comes with any other id.
 */
export default function parseCreated(
  place: string,
  id: string,
  headers: IncomingHttpHeaders,
  findings: RequestFindings,
): number {
  if (!ID.test(id)) {
    findings.add(place, 'expected 1 to 200 visible ASCII characters');
    return 0;
  }
  if (UUID_V7.test(id)) return parseInt(id.replaceAll('-', '').slice(0, 12), 16);
  const created = headerOf(headers, 'magnoliakeel-created');
  if (created !== undefined && MILLISECONDS.test(created)) return Number(created);
  if (created === undefined) {
    const expected = 'expected a UUIDv7, or the header Magnoliakeel-Created beside it';
    findings.add(place, `"${id}" carries no time of creation; ${expected}`);
  } else {
    const expected = 'expected milliseconds since the epoch';
    findings.add('header Magnoliakeel-Created', `found "${created}", ${expected}`);
  }
  return 0;
}

const ID = /^[!-~]{1,200}$/;
const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const MILLISECONDS = /^\d{12,14}$/;
