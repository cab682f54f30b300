import type { IncomingHttpHeaders } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import headerOf from './headerOf';
import type RequestError from './RequestError';

/**
 * Reads the configuration version that a caller has met before, from the header
 * that responses give it: it is not to meet an older one. 0 for none.
 */
export default function parseVersion(headers: IncomingHttpHeaders): Result<bigint, RequestError> {
  const text = headerOf(headers, 'magnoliakeel-configuration');
  if (text === undefined) return ok(0n);
  if (/^\d{1,15}$/.test(text)) return ok(BigInt(text));
  const reason = `header Magnoliakeel-Configuration: found "${text}", expected the number that a response gave`;
  return err({ status: 400, reason });
}
