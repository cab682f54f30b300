import type { BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';

/** An entry's claim of a batch that is open there. */
export default interface LocalClaim {
  readonly batch: string;
  /** How long registrars keep a note of it, ms. */
  readonly keptMs: number;
  /** Told that another entry has claimed the batch, and may have run some of it. */
  readonly contested: () => void;
  /** Told that another entry has taken the batch over since it was held here: what runs is to be stopped. */
  readonly lost: () => void;
  /** The newest number under which it was made. */
  number: number;
  /** Whether the entry may run the batch, waits for another that does, or does not know yet. */
  state: 'claiming' | 'held' | 'following';
  /** The entry that is waited for, while following. */
  holder: BatchHolder | undefined;
  /** Another claimant that was let pass, or the entry that a holder has named in its place. */
  yieldedTo: BatchHolder | undefined;
  /** Claims of others of which nothing is left, the newest of each process. */
  readonly endedClaims: Map<string, BatchHolder>;
  /** Entries that were asked to note it, and are linked still. */
  readonly registrars: Set<string>;
  /** Whether another entry was found to have claimed the batch. */
  isContested: boolean;
  /** Since when a holder that others are linked to is out of reach, by the timer service. */
  unreachableSince: number | undefined;
}
