import type ServiceConfig from '../settings/ServiceConfig';

/** What every request of a caller says or leaves to defaults. */
export default interface CommonFields {
  readonly service: ServiceConfig;
  readonly team: string;
  /** Milliseconds until the caller's deadline; 0 when it gave none. */
  readonly deadlineMs: number;
  readonly waitMs: number;
  readonly traceparent: string;
}
