import type Resources from '../room/Resources';

/** A heartbeat, as a backend server sends it. */
export default interface BackendHeartbeat {
  /**
   * The name of the backend server. If `born` is given, it is kept across incarnations; if not, each
   * incarnation has its own.
   */
  readonly id: string;
  /** When this incarnation started, whole ms since 1970; rises with each incarnation under the same id. */
  readonly born?: number;
  /** Where it accepts calls, "ip:port". */
  readonly address: string;
  readonly service: string;
  readonly capacity: Resources;
  /** Its kind and its rack. */
  readonly labels: readonly string[];
  /** True once it accepts no new tasks because it is about to shut down. */
  readonly draining: boolean;
  /** Its monotonic clock when it sent this, ms. */
  readonly clockMs: number;
  /** Rises with each heartbeat, so that heartbeats that arrive out of order are detected. */
  readonly sequence: number;
}
