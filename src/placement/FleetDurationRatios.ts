/** A backend server as far as its speed goes. */
interface RatedBackend {
  /** Unique for each life of the backend server. */
  readonly backend: string;
  /** Times the estimates that work takes there, as its sidecar has told; undefined while it does not say. */
  readonly durationRatio: number | undefined;
}

/**
 * The speeds of backend servers against the middle of all, so that what estimates have in common says nothing. What
 * a sidecar has told of a backend server holds after its restart too, until it knows again. Of what nothing was told
 * work is taken to go as estimated.
 */
export default class FleetDurationRatios {
  private readonly reportedRatios = new Map<string, number>();

  private constructor() {}

  /** Creates one that has heard of no backend server. */
  static create(): FleetDurationRatios {
    return new FleetDurationRatios();
  }

  /**
   * Times the middle that work takes at those that are not like the others: all that are missing take it once. Empty
   * where none differs much, since what is then known of them is as much chance as property.
   */
  relativeToMean<T extends RatedBackend>(places: Iterable<T>): ReadonlyMap<T, number> {
    const known = [...places].map((place) => ({ place, log: Math.log(this.ratioOf(place)) }));
    if (known.length < MIN_BACKENDS) return new Map();
    const middle = winsorizedMean(known.map(({ log }) => log));
    const offBy = (log: number): number => Math.abs(log - middle);
    if (!known.some(({ log }) => offBy(log) > MIN_LOG_DIFFERENCE)) return new Map();
    const unlike = known.filter(({ log }) => offBy(log) > ALIKE_LOG_DIFFERENCE);
    return new Map(unlike.map(({ place, log }) => [place, Math.exp(log - middle)]));
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

/** The mean, with what is far from the median taken as less far: a few ill ones do not move it. */
function winsorizedMean(logs: readonly number[]): number {
  const sorted = [...logs].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const near = logs.map((log) =>
    Math.min(median + MAX_LOG_DIFFERENCE, Math.max(median - MAX_LOG_DIFFERENCE, log)),
  );
  return near.reduce((sum, log) => sum + log, 0) / near.length;
}

/** Backend servers of which one can be unlike the others. */
const MIN_BACKENDS = 3;

/**
 * Logarithm of the factor by which one has to differ before any counts as different: objectives of 1.6 times
 * the work bear that with the 15% by which tasks of a batch differ, so a smaller one makes nobody late.
 */
const MIN_LOG_DIFFERENCE = Math.log(1.4);

/** Logarithm of the factor up to which speeds count as alike then. */
const ALIKE_LOG_DIFFERENCE = Math.log(1.15);

/** Logarithm of the factor from the median beyond which a speed counts no more. */
const MAX_LOG_DIFFERENCE = Math.log(3);

/** Backend servers remembered: more than any fleet has, with those that were replaced. */
const MAX_REMEMBERED = 2_000;
