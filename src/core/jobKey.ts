import { createHash } from 'node:crypto';

const KEY_BYTES = 16;

/**
 * The key that identifies a job in all processes: a hash of the service, the
 * kind of submission ("job" or "request") and the id that the caller chose.
 */
export default function jobKey(service: string, kind: string, id: string): string {
  const hash = createHash('sha256').update(`${service}\0${kind}\0${id}`).digest();
  return hash.subarray(0, KEY_BYTES).toString('base64url');
}
