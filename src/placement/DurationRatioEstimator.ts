/**
 * Estimates the ratio of actual to estimated duration at one backend server, from the runs completed there.
 * This is for fleets of different machines, on some of which the same task takes two or three times as long.
 *
 * The result is the interquartile mean of the ratios' logarithms, one value for each batch: a task that takes
 * many times its estimate says nothing about the machine, and the tasks of one batch share the error of its
 * estimate. While there are few batches, the result is shrunk towards 1, which is what the estimates assume, by
 * the same amount however far it is: most machines are alike and some differ by much, so a small difference is
 * chance and a large one is not.
 */
export default class DurationRatioEstimator {
  /** The logarithms of duration over estimate of the tasks completed here, for each of the newest batches. */
  private readonly logRatios = new Map<string, number[]>();

  private cachedRatio: number | undefined;

  private constructor() {}

  /** Creates the estimator of a backend server at which nothing was completed. */
  static create(): DurationRatioEstimator {
    return new DurationRatioEstimator();
  }

  /** Duration of work here divided by its estimate; undefined while nothing is known. */
  get ratio(): number | undefined {
    if (this.logRatios.size < MIN_BATCHES) return undefined;
    this.cachedRatio ??= this.estimate();
    return this.cachedRatio;
  }

  /** Adds a task of the batch that was completed here. */
  addSample(batch: string, estimateMs: number, tookMs: number): void {
    if (estimateMs <= 0 || tookMs <= 0) return;
    const logRatio = Math.log(tookMs / estimateMs);
    this.cachedRatio = undefined;
    const earlier = this.logRatios.get(batch);
    if (earlier) earlier.push(logRatio);
    else this.logRatios.set(batch, [logRatio]);
    const [oldest] = this.logRatios.keys();
    if (this.logRatios.size > MAX_BATCHES && oldest !== undefined) this.logRatios.delete(oldest);
  }

  private estimate(): number {
    const medians = [...this.logRatios.values()].map(medianOf).sort((a, b) => a - b);
    const cut = Math.floor(medians.length / 4);
    const middle = medians.slice(cut, medians.length - cut);
    const mean = middle.reduce((sum, ratio) => sum + ratio, 0) / middle.length;
    const shrunk = Math.max(0, Math.abs(mean) - SHRINKAGE / medians.length);
    return Math.exp(Math.sign(mean) * Math.min(MAX_LOG_RATIO, shrunk));
  }
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const half = sorted.length / 2;
  return ((sorted[Math.floor(half)] ?? 0) + (sorted[Math.ceil(half) - 1] ?? 0)) / 2;
}

/** Batches needed before there is a ratio: with fewer, identical servers would seem to differ by a third. */
const MIN_BATCHES = 8;

/** Batches that count: with estimates wrong by 40%, the mean is then wrong by some 6%. */
const MAX_BATCHES = 48;

/**
 * Shrinkage of the logarithm, multiplied by the number of batches: the variance of estimates that are wrong by
 * 40%, over the spread of a fleet in which most machines differ by a fifth.
 */
const SHRINKAGE = 0.8;

/** Logarithm of the largest factor that can be a property of a machine. */
const MAX_LOG_RATIO = Math.log(4);
