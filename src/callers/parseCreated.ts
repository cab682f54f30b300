import type { IncomingHttpHeaders } from 'node:http';
import headerOf from './headerOf';
import type RequestFindings from './RequestFindings';

/**
 * The time at which the caller created an id, in milliseconds since the epoch. It
 * is part of a UUIDv7; any other id needs the header `Magnoliakeel-Created`.
 */
export default function parseCreated(
  location: string,
  id: string,
  headers: IncomingHttpHeaders,
  findings: RequestFindings,
): number {
  if (!ID_PATTERN.test(id)) {
    findings.add(location, 'expected 1 to 200 visible ASCII characters');
    return 0;
  }
  if (UUID_V7_PATTERN.test(id)) return parseInt(id.replaceAll('-', '').slice(0, 12), 16);
  const created = headerOf(headers, 'magnoliakeel-created');
  if (created !== undefined && EPOCH_MS_PATTERN.test(created)) return Number(created);
  if (created === undefined) {
    const expected = 'expected a UUIDv7, or the header Magnoliakeel-Created beside it';
    findings.add(location, `"${id}" carries no time of creation; ${expected}`);
  } else {
    const expected = 'expected milliseconds since the epoch';
    findings.add('header Magnoliakeel-Created', `found "${created}", ${expected}`);
  }
  return 0;
}

const ID_PATTERN = /^[!-~]{1,200}$/;
const UUID_V7_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const EPOCH_MS_PATTERN = /^\d{12,14}$/;
