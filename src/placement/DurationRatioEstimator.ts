/**
 * How fast work goes at one backend server against its estimates, learned from the runs that were done there. It
 * answers fleets of different machines, where the same task takes two or three times as long on some.
 *
 * It is the mean of the middle half of the logarithms of time over estimate, one value for each batch: a task that
 * takes many times its estimate is that task's own affair, and the tasks of one batch share the error of its estimate.
 * While few batches were seen it is drawn to 1, which is what the estimates say, by the same amount however far it is:
 * most machines are alike and some differ by much, so a small difference is chance and a large one is not.
 */
export default class DurationRatioEstimator {
  /** For each of the newest batches, the logarithms of time over estimate of its tasks here. */
  private readonly logRatios = new Map<string, number[]>();

  private cachedRatio: number | undefined;

  private constructor() {}

  /** Creates the speed of a backend server at which nothing was done. */
  static create(): DurationRatioEstimator {
    return new DurationRatioEstimator();
  }

  /** Times the estimates that work takes here; undefined while nothing is known. */
  get ratio(): number | undefined {
    if (this.logRatios.size < MIN_BATCHES) return undefined;
    this.cachedRatio ??= this.estimate();
    return this.cachedRatio;
  }

  /** A task of the batch was done here. */
  addSample(batch: string, estimateMs: number, tookMs: number): void {
    if (estimateMs <= 0 || tookMs <= 0) return;
    const ratio = Math.log(tookMs / estimateMs);
    this.cachedRatio = undefined;
    const earlier = this.logRatios.get(batch);
    if (earlier) earlier.push(ratio);
    else this.logRatios.set(batch, [ratio]);
    const [oldest] = this.logRatios.keys();
    if (this.logRatios.size > MAX_BATCHES && oldest !== undefined) this.logRatios.delete(oldest);
  }

  private estimate(): number {
    const ratios = [...this.logRatios.values()].map(medianOf).sort((a, b) => a - b);
    const cut = Math.floor(ratios.length / 4);
    const middle = ratios.slice(cut, ratios.length - cut);
    const mean = middle.reduce((sum, ratio) => sum + ratio, 0) / middle.length;
    const sure = Math.max(0, Math.abs(mean) - SHRINKAGE / ratios.length);
    return Math.exp(Math.sign(mean) * Math.min(MAX_LOG_RATIO, sure));
  }
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const half = sorted.length / 2;
  return ((sorted[Math.floor(half)] ?? 0) + (sorted[Math.ceil(half) - 1] ?? 0)) / 2;
}

/** Batches before anything is said: with fewer, servers that are alike would seem to differ by a third. */
const MIN_BATCHES = 8;

/** Batches that count: with estimates wrong by 40% the mean is then wrong by some 6%. */
const MAX_BATCHES = 48;

/**
 * What is taken off a logarithm, times the batches seen: the variance of estimates that are wrong by 40%, over the
 * spread of a fleet in which most differ by a fifth.
 */
const SHRINKAGE = 0.8;

/** Logarithm of the factor beyond which being slower, or faster, is no property of a machine. */
const MAX_LOG_RATIO = Math.log(4);
