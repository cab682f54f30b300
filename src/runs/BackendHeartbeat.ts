import type Resources from '../room/Resources';

/** What a backend server announces of itself with each heartbeat. */
export default interface BackendHeartbeat {
  /** Its name; whether each life of it has one of its own is told by whether it tells `born`. */
  readonly id: string;
  /** When this life started, whole ms since 1970; a later life under the same id has a later one. */
  readonly born?: number;
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
