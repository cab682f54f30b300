import type { BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';

/** A claim of another entry that prevents ours, as reported by a registrar. */
export default interface ClaimConflict {
  readonly holder: BatchHolder;
  /** How long ago the registrar lost its link to that entry, ms; undefined while it is linked. */
  readonly goneMs: number | undefined;
  /** How long the registrar has received nothing from that entry, ms. */
  readonly silentMs: number;
  readonly registrar: string;
}
