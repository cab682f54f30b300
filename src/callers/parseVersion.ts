import type { IncomingHttpHeaders } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import headerOf from './headerOf';
import type RequestError from './RequestError';

/**
 * Parses the configuration version that the caller got in an earlier response, so
 * that it is not served under an older one. 0 if it sent none.
 */
export default function parseVersion(headers: IncomingHttpHeaders): Result<bigint, RequestError> {
  const text = headerOf(headers, 'magnoliakeel-configuration');
  if (text === undefined) return ok(0n);
  if (/^\d{1,15}$/.test(text)) return ok(BigInt(text));
  const reason = `header Magnoliakeel-Configuration: found "${text}", expected the number that a response gave`;
  return err({ status: 400, reason });
}
