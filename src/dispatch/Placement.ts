import type { Credit } from '../gen/magnoliakeel/v1/peer_pb';

/** Where a task is to be started. */
export default interface Placement {
  /** The sidecar's incarnation. */
  readonly sidecar: string;
  /** The credit it is started with; policies other than credits have none. */
  readonly credit?: Credit;
  /** The entry that lent the credit, if it is borrowed. */
  readonly lender?: string;
}
