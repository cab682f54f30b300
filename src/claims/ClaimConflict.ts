import type { BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';

/** What stands against a claim: that of another entry, as a registrar tells it. */
export default interface ClaimConflict {
  readonly holder: BatchHolder;
  /** How long ago the registrar lost its link to that entry, ms; undefined while it is linked. */
  readonly goneMs: number | undefined;
  /** How long the registrar has heard nothing of that entry, ms. */
  readonly silentMs: number;
  readonly registrar: string;
}
