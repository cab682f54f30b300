import { build, type Histogram } from 'hdr-histogram-js';
import type TimerService from '../core/TimerService';

/**
 * A histogram over a moving window: quantiles cover the last one to two windows, and the sum and the
 * count cover all values since the start.
 */
export default class WindowedHistogram {
  count = 0;

  sum = 0;

  private current = newHistogram();

  private previous = newHistogram();

  private windowEnd: number;

  private constructor(
    private readonly timer: TimerService,
    private readonly windowMs: number,
  ) {
    this.windowEnd = timer.now() + windowMs;
  }

  /** Creates an empty histogram. */
  static create(timer: TimerService, windowMs: number): WindowedHistogram {
    return new WindowedHistogram(timer, windowMs);
  }

  /** Adds a value. Values are rounded to millionths and limited to the range from 0 to a day in seconds. */
  record(value: number): void {
    this.rotate();
    this.count += 1;
    this.sum += value;
    this.current.recordValue(Math.min(MAX_STEPS, Math.max(0, Math.round(value * STEPS_PER_UNIT))));
  }

  /** Quantiles for the given shares, from 0 to 1; undefined when the last two windows are empty. */
  quantiles(shares: readonly number[]): readonly number[] | undefined {
    this.rotate();
    const both = newHistogram();
    both.add(this.previous);
    both.add(this.current);
    if (both.totalCount === 0) return undefined;
    return shares.map((share) => both.getValueAtPercentile(share * 100) / STEPS_PER_UNIT);
  }

  private rotate(): void {
    const now = this.timer.now();
    if (now < this.windowEnd) return;
    const isIdle = now >= this.windowEnd + this.windowMs;
    [this.previous, this.current] = [this.current, this.previous];
    this.current.reset();
    if (isIdle) this.previous.reset();
    this.windowEnd = now + this.windowMs;
  }
}

/** Values are stored as whole millionths. */
const STEPS_PER_UNIT = 1_000_000;

/** A day, in millionths of a second. */
const MAX_STEPS = 86_400 * STEPS_PER_UNIT;

function newHistogram(): Histogram {
  return build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 });
}
