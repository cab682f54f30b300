import type { BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';

/** This entry's claim of a batch that is open here. */
export default interface LocalClaim {
  readonly batch: string;
  /** How long registrars keep the record of it, ms. */
  readonly keptMs: number;
  /** Called when another entry has claimed the batch and may have run some of it. */
  readonly onContested: () => void;
  /** Called when another entry has taken over the batch held here: its runs have to be stopped. */
  readonly onLost: () => void;
  /** Number of the last round in which it was requested. */
  number: number;
  /** `held`: this entry may run the batch. `following`: it waits for the holder. `claiming`: not known yet. */
  state: 'claiming' | 'held' | 'following';
  /** The holder, while following. */
  holder: BatchHolder | undefined;
  /** Another claimant that was given precedence, or the entry to which a former holder has referred. */
  yieldedTo: BatchHolder | undefined;
  /** Claims of others that have ended, by incarnation; the newest of each process. */
  readonly endedClaims: Map<string, BatchHolder>;
  /** Entries that were asked to record it and are still linked. */
  readonly registrars: Set<string>;
  /** Whether another entry has been found to claim the batch. */
  isContested: boolean;
  /** Since when the holder, to which other entries are linked, is unreachable from here, by the timer service. */
  unreachableSince: number | undefined;
}
