import type { Credit } from '../gen/magnoliakeel/v1/peer_pb';

/** A credit with the sidecar that granted it. */
export default interface HeldCredit {
  /** The sidecar's incarnation. */
  readonly sidecar: string;
  readonly credit: Credit;
  /** The entry that lent it; undefined when the sidecar granted it to this entry. */
  readonly lender?: string;
}
