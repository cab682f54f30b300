import type TimerService from '../core/TimerService';

/**
 * The ids of batches that their callers have cancelled. They are kept for as long as a late copy of a
 * submission may come, so that it does not run.
 */
export default class CancelledIds {
  /** When each may be forgotten, the oldest first. */
  private readonly until = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates one without any id. */
  static create(timer: TimerService): CancelledIds {
    return new CancelledIds(timer);
  }

  /** Adds an id, or keeps it for longer. */
  add(id: string): void {
    this.until.delete(id);
    this.until.set(id, this.timer.now() + KEPT_MS);
    this.forget();
  }

  /** Whether the id was cancelled lately. */
  has(id: string): boolean {
    return (this.until.get(id) ?? 0) > this.timer.now();
  }

  /** Those that were added, or kept for longer, in the last so many ms. */
  addedWithin(ms: number): readonly string[] {
    const since = this.timer.now() + KEPT_MS - ms;
    return [...this.until].flatMap(([id, until]) => (until > since ? [id] : []));
  }

  private forget(): void {
    const now = this.timer.now();
    for (const [id, until] of this.until) {
      if (until > now && this.until.size <= MOST) return;
      this.until.delete(id);
    }
  }
}

/** Copies come within seconds; callers may ask for a job for two minutes, ms. */
const KEPT_MS = 120_000;

/** Ids that are kept at most, some 2 MB: those of two minutes with 160 cancelled a second. */
const MOST = 20_000;
