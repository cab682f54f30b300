import type Resources from '../room/Resources';

/** What a backend server announces of itself with each heartbeat. */
export default interface BackendReport {
  /** Unique for each life of the backend server. */
  readonly id: string;
  /** Where it takes calls, "ip:port". */
  readonly address: string;
  readonly service: string;
  readonly capacity: Resources;
  /** Its kind and its rack. */
  readonly labels: readonly string[];
  /** True once it takes no new tasks because it is about to leave. */
  readonly draining: boolean;
  /** Its steady clock when it sent this, ms. */
  readonly clockMs: number;
  /** Rises with each heartbeat, so that a late one is recognised. */
  readonly sequence: number;
}
