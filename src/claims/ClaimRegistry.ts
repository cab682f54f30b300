import type TimerService from '../core/TimerService';
import type { BatchHolder } from '../gen/magnoliakeel/v1/peer_pb';
import claimLimits from './claimLimits';

/** Who holds a batch, and until when that is of interest. */
interface Note {
  readonly holder: BatchHolder;
  readonly until: number;
}

/** What an entry notes as a registrar: the newest claim of each batch. */
export default class ClaimRegistry {
  /** By batch, the oldest first. */
  private readonly notes = new Map<string, Note>();

  private constructor(
    private readonly timer: TimerService,
    private readonly isOver: (holder: BatchHolder) => boolean,
  ) {}

  /** Creates one without notes; `isOver` tells whether all runs of a holder that is gone are over. */
  static create(timer: TimerService, isOver: (holder: BatchHolder) => boolean): ClaimRegistry {
    return new ClaimRegistry(timer, isOver);
  }

  /**
   * Notes a claim for so many ms, unless that of another entry stands, which is returned. A claim stands until its
   * time is over, its runs are, or the claimant names it as past.
   */
  claim(
    batch: string,
    holder: BatchHolder,
    keptMs: number,
    past: readonly BatchHolder[],
  ): BatchHolder | undefined {
    const standing = this.standing(batch);
    if (standing && !isSameProcess(standing, holder) && !past.some((p) => covers(p, standing))) {
      return standing;
    }
    this.notes.delete(batch);
    this.notes.set(batch, { holder, until: this.timer.now() + keptMs });
    this.forget();
    return undefined;
  }

  private standing(batch: string): BatchHolder | undefined {
    const note = this.notes.get(batch);
    if (!note || note.until <= this.timer.now() || this.isOver(note.holder)) return undefined;
    return note.holder;
  }

  private forget(): void {
    const now = this.timer.now();
    // The first ones may be kept the longest: those whose time is over go before the oldest.
    if (this.notes.size > claimLimits.notes) {
      this.notes.forEach(({ until }, batch) => {
        if (until <= now) this.notes.delete(batch);
      });
    }
    for (const [batch, { until }] of this.notes) {
      if (until > now && this.notes.size <= claimLimits.notes) return;
      this.notes.delete(batch);
    }
  }
}

function isSameProcess(one: BatchHolder, other: BatchHolder): boolean {
  return one.incarnation === other.incarnation;
}

/** Whether a claim of the same process that is no older is known to be past. */
function covers(past: BatchHolder, standing: BatchHolder): boolean {
  return isSameProcess(past, standing) && past.claim >= standing.claim;
}
