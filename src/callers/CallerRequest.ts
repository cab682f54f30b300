import type { IncomingHttpHeaders } from 'node:http';

/** A caller's HTTP request, read completely. */
export default interface CallerRequest {
  readonly headers: IncomingHttpHeaders;
  /** The names in the path: the service, and the job id where the route has one. */
  readonly names: readonly string[];
  readonly query: URLSearchParams;
  readonly body: Buffer;
}
