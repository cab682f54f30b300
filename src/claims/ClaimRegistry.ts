import type TimerService from '../core/TimerService';
import type { BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';
import claimLimits from './claimLimits';

/** The holder of a batch, and when the record expires, by the timer service. */
interface ClaimRecord {
  readonly holder: BatchHolder;
  readonly expiry: number;
}

/** The claims that an entry has recorded as a registrar: the newest of each batch. */
export default class ClaimRegistry {
  /** By batch, the oldest record first. */
  private readonly records = new Map<string, ClaimRecord>();

  private constructor(
    private readonly timer: TimerService,
    private readonly isGone: (holder: BatchHolder) => boolean,
  ) {}

  /** Creates an empty registry; `isGone` tells whether a holder is gone and its runs have ended. */
  static create(timer: TimerService, isGone: (holder: BatchHolder) => boolean): ClaimRegistry {
    return new ClaimRegistry(timer, isGone);
  }

  /**
   * Records a claim for `keptMs`, unless another entry has a valid claim: then returns that one's holder. A claim is
   * valid until it expires, its holder's runs have ended, or the claimant lists it in `past`.
   */
  claim(
    batch: string,
    holder: BatchHolder,
    keptMs: number,
    past: readonly BatchHolder[],
  ): BatchHolder | undefined {
    const current = this.activeHolder(batch);
    if (current && !isSameProcess(current, holder) && !past.some((p) => covers(p, current))) {
      return current;
    }
    this.records.delete(batch);
    this.records.set(batch, { holder, expiry: this.timer.now() + keptMs });
    this.pruneRecords();
    return undefined;
  }

  private activeHolder(batch: string): BatchHolder | undefined {
    const claim = this.records.get(batch);
    if (!claim || claim.expiry <= this.timer.now() || this.isGone(claim.holder)) return undefined;
    return claim.holder;
  }

  private pruneRecords(): void {
    const now = this.timer.now();
    // The oldest records may expire last, so expired ones are removed before the oldest.
    if (this.records.size > claimLimits.maxRecords) {
      this.records.forEach(({ expiry }, batch) => {
        if (expiry <= now) this.records.delete(batch);
      });
    }
    for (const [batch, { expiry }] of this.records) {
      if (expiry > now && this.records.size <= claimLimits.maxRecords) return;
      this.records.delete(batch);
    }
  }
}

function isSameProcess(one: BatchHolder, other: BatchHolder): boolean {
  return one.incarnation === other.incarnation;
}

/** Whether `past` shows that `current` has ended: it is a claim of the same process that is at least as new. */
function covers(past: BatchHolder, current: BatchHolder): boolean {
  return isSameProcess(past, current) && past.claim >= current.claim;
}
