import type { IncomingHttpHeaders } from 'node:http';

/** A caller's HTTP request with its complete body. */
export default interface CallerRequest {
  readonly headers: IncomingHttpHeaders;
  /** Decoded parameters of the path: the service, and the job id if the route has one. */
  readonly pathParameters: readonly string[];
  readonly query: URLSearchParams;
  readonly body: Buffer;
}
