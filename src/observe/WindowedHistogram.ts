import { build, type Histogram } from 'hdr-histogram-js';
import type TimerService from '../core/TimerService';

/**
 * The distribution of a value lately: quantiles cover the last one to two windows, the sum and the
 * count everything since the start.
 */
export default class WindowedHistogram {
  count = 0;

  sum = 0;

  private current = newHistogram();

  private earlier = newHistogram();

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

  /** Adds a value; what is below the resolution of a millionth counts as 0. */
  record(value: number): void {
    this.turn();
    this.count += 1;
    this.sum += value;
    this.current.recordValue(Math.min(LARGEST, Math.max(0, Math.round(value * STEPS))));
  }

  /** The values below which the given shares lie; undefined when the last windows are empty. */
  quantiles(shares: readonly number[]): readonly number[] | undefined {
    this.turn();
    const both = newHistogram();
    both.add(this.earlier);
    both.add(this.current);
    if (both.totalCount === 0) return undefined;
    return shares.map((share) => both.getValueAtPercentile(share * 100) / STEPS);
  }

  private turn(): void {
    const now = this.timer.now();
    if (now < this.windowEnd) return;
    const isIdle = now >= this.windowEnd + this.windowMs;
    [this.earlier, this.current] = [this.current, this.earlier];
    this.current.reset();
    if (isIdle) this.earlier.reset();
    this.windowEnd = now + this.windowMs;
  }
}

/** Values are kept as whole millionths. */
const STEPS = 1_000_000;

/** A day, in millionths of a second. */
const LARGEST = 86_400 * STEPS;

function newHistogram(): Histogram {
  return build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 });
}
