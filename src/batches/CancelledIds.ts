import type TimerService from '../core/TimerService';

/**
 * The ids of cancelled batches. They are kept for as long as a delayed duplicate of the submission
 * may arrive, so that it is not run.
 */
export default class CancelledIds {
  /** Expiry time of each id, oldest first. */
  private readonly expiries = new Map<string, number>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty set. */
  static create(timer: TimerService): CancelledIds {
    return new CancelledIds(timer);
  }

  /** Adds an id, or extends its retention. */
  add(id: string): void {
    this.expiries.delete(id);
    this.expiries.set(id, this.timer.now() + RETENTION_MS);
    this.evict();
  }

  /** Whether the id was cancelled within the retention time. */
  has(id: string): boolean {
    return (this.expiries.get(id) ?? 0) > this.timer.now();
  }

  /** The ids that were added, or extended, in the last `ms` milliseconds. */
  addedWithin(ms: number): readonly string[] {
    const since = this.timer.now() + RETENTION_MS - ms;
    return [...this.expiries].flatMap(([id, expiresAt]) => (expiresAt > since ? [id] : []));
  }

  private evict(): void {
    const now = this.timer.now();
    for (const [id, expiresAt] of this.expiries) {
      if (expiresAt > now && this.expiries.size <= MAX_IDS) return;
      this.expiries.delete(id);
    }
  }
}

/**
 * Duplicates arrive within seconds, but callers may ask for the state of a job for two minutes, ms.
 */
const RETENTION_MS = 120_000;

/** Upper bound, some 2 MB: two minutes at 160 cancellations a second. */
const MAX_IDS = 20_000;
