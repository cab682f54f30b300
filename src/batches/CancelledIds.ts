import type TimerService from '../core/TimerService';
import type Cancellation from './Cancellation';
import CANCELLATION_RETENTION_MS from './CANCELLATION_RETENTION_MS';

interface KnownCancellation {
  readonly cancelledAt: number;
  readonly isOwn: boolean;
}

/**
 * The ids of cancelled batches. They are kept for as long as a delayed duplicate of the submission
 * may arrive, so that it is not run.
 */
export default class CancelledIds {
  /** By id, the oldest first unless other entries have sent older ones. */
  private readonly known = new Map<string, KnownCancellation>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty set. */
  static create(timer: TimerService): CancelledIds {
    return new CancelledIds(timer);
  }

  /** Adds a cancellation, or extends its retention; returns whether it was not known. */
  add({ batch, ageMs, isOwn }: Cancellation): boolean {
    const isNew = !this.has(batch);
    const previous = this.known.get(batch);
    const cancelledAt = Math.max(this.timer.now() - ageMs, previous?.cancelledAt ?? -Infinity);
    this.known.delete(batch);
    this.known.set(batch, { cancelledAt, isOwn: isOwn || (previous?.isOwn ?? false) });
    this.evict();
    return isNew;
  }

  /** Whether the id was cancelled within the retention time. */
  has(id: string): boolean {
    const cancellation = this.known.get(id);
    return cancellation !== undefined && this.isRetained(cancellation);
  }

  /** All cancellations within the retention time. */
  get all(): readonly Cancellation[] {
    const now = this.timer.now();
    return [...this.known]
      .filter(([, cancellation]) => this.isRetained(cancellation))
      .map(([batch, { cancelledAt, isOwn }]) => ({ batch, ageMs: now - cancelledAt, isOwn }));
  }

  private isRetained({ cancelledAt }: KnownCancellation): boolean {
    return this.timer.now() - cancelledAt < CANCELLATION_RETENTION_MS;
  }

  private evict(): void {
    for (const [id, cancellation] of this.known) {
      if (this.isRetained(cancellation) && this.known.size <= MAX_IDS) return;
      this.known.delete(id);
    }
  }
}

/** Upper bound, some 2 MB: two minutes at 160 cancellations a second. */
const MAX_IDS = 20_000;
