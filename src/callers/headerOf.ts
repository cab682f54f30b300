import type { IncomingHttpHeaders } from 'node:http';

/** The value of a header; the first one if it was sent several times. */
export default function headerOf(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}
