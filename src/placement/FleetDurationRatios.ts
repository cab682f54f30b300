/** A backend server and its duration ratio. */
interface RatedBackend {
  /** Unique for each incarnation of the backend server. */
  readonly backend: string;
  /** Duration of work there divided by its estimate, as its sidecar reports it; undefined while it does not. */
  readonly durationRatio: number | undefined;
}

/**
 * The duration ratios of backend servers relative to the mean of the fleet, so that errors common to all
 * estimates cancel out. The ratio reported for a backend server is kept across restarts of its sidecar, until
 * the sidecar knows it again. Without any report, work is presumed to take as long as estimated.
 */
export default class FleetDurationRatios {
  private readonly reportedRatios = new Map<string, number>();

  private constructor() {}

  /** Creates it without any report. */
  static create(): FleetDurationRatios {
    return new FleetDurationRatios();
  }

  /**
   * Duration ratios relative to the fleet's mean, of the backend servers that differ from it; for all others it
   * is 1. Empty where none differs by much, since the remaining differences are as likely chance as property.
   */
  relativeToMean<T extends RatedBackend>(backends: Iterable<T>): ReadonlyMap<T, number> {
    const known = [...backends].map((backend) => ({
      backend,
      log: Math.log(this.ratioOf(backend)),
    }));
    if (known.length < MIN_BACKENDS) return new Map();
    const mean = winsorizedMean(known.map(({ log }) => log));
    const distance = (log: number): number => Math.abs(log - mean);
    if (!known.some(({ log }) => distance(log) > MIN_LOG_DIFFERENCE)) return new Map();
    const different = known.filter(({ log }) => distance(log) > ALIKE_LOG_DIFFERENCE);
    return new Map(different.map(({ backend, log }) => [backend, Math.exp(log - mean)]));
  }

  private ratioOf({ backend, durationRatio }: RatedBackend): number {
    if (durationRatio === undefined) return this.reportedRatios.get(backend) ?? 1;
    this.reportedRatios.delete(backend);
    this.reportedRatios.set(backend, durationRatio);
    const [oldest] = this.reportedRatios.keys();
    if (this.reportedRatios.size > MAX_REMEMBERED && oldest !== undefined)
      this.reportedRatios.delete(oldest);
    return durationRatio;
  }
}

/**
 * The mean, with values far from the median moved closer to it, so that a few unhealthy backend servers do not
 * shift it.
 */
function winsorizedMean(logs: readonly number[]): number {
  const sorted = [...logs].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const clamped = logs.map((log) =>
    Math.min(median + MAX_LOG_DIFFERENCE, Math.max(median - MAX_LOG_DIFFERENCE, log)),
  );
  return clamped.reduce((sum, log) => sum + log, 0) / clamped.length;
}

/** Fewest backend servers among which one can differ from the others. */
const MIN_BACKENDS = 3;

/**
 * Logarithm of the factor by which one has to differ before any counts as different: latency targets of 1.6 times the
 * work tolerate that, with the 15% by which tasks of a batch differ, so a smaller one makes nothing late.
 */
const MIN_LOG_DIFFERENCE = Math.log(1.4);

/** Logarithm of the factor within which ratios then count as equal to the mean. */
const ALIKE_LOG_DIFFERENCE = Math.log(1.15);

/** Logarithm of the largest factor from the median that enters the mean. */
const MAX_LOG_DIFFERENCE = Math.log(3);

/** Backend servers to remember: more than any fleet has, including those that were replaced. */
const MAX_REMEMBERED = 2_000;
