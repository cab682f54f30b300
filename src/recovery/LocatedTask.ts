import type { HeldTask } from '../gen/magnoliakeel/v1/peer_pb';

/** A started task known to a sidecar, with the sidecar's incarnation. */
export default interface LocatedTask {
  readonly sidecar: string;
  readonly held: HeldTask;
}
