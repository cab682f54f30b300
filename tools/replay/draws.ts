import type DrawOptions from './DrawOptions';

const base = { seed: 7, seconds: 10, entries: 3, backends: 11, troubles: [], bursts: [1, 1, 1] };

/** The ledgers workload on 16 backend servers, which have 296 cores in all. */
const ledgers = { ...base, work: 'ledgers', backends: 16 } as const;

/** Multiple of the usual load at which the ledgers workload takes all of these cores. */
const LEDGERS_FULL = 2.44;

/** Load at which the work of `twospeed`, spread evenly over its backend servers, takes all of their capacity. */
const TWOSPEED_FULL = 2.19;

/**
 * Two thirds of the backend servers have a duration ratio of 0.7, the others of 1.7, and tasks have a long tail. At
 * load 1 the work, spread evenly, takes the capacity of 98 tasks out of some 213.
 */
const twospeed: Omit<DrawOptions, 'load'> = {
  ...base,
  ...{ work: 'ledgers', seconds: 8, backends: 20, backendMilli: 16_000 },
  ...{ speeds: [0.7, 0.7, 1.7], tail: { share: 0.03, times: 7 } },
};

/** Parameters of the synthetic recordings, by name. */
const draws: Readonly<Record<string, DrawOptions>> = {
  /** Demand below capacity. */
  calm: { ...base, load: 0.8 },
  /** Demand constantly somewhat above capacity. */
  heavy: { ...base, load: 1.6 },
  /** One queue receives twice its usual rate for four seconds. */
  burst: { ...base, load: 1.45, bursts: [1, 2, 1] },
  /** Backend servers become slow, hang, fail and crash at the same time, at 1.1 times the usual load. */
  trouble: {
    ...base,
    load: 1.1,
    troubles: [
      { backend: 0, fromMs: 2_000, untilMs: 7_000, how: 'slow', times: 8 },
      { backend: 1, fromMs: 2_500, untilMs: 7_000, how: 'slow', times: 8 },
      { backend: 2, fromMs: 3_000, untilMs: 7_500, how: 'hang', times: 1 },
      { backend: 3, fromMs: 4_000, untilMs: 8_000, how: 'fail', times: 1 },
      { backend: 4, fromMs: 4_500, untilMs: 8_000, how: 'crash', times: 1 },
    ],
  },
  /** Slow and hanging backend servers at the load of the heaviest days. */
  worst: {
    ...base,
    load: 1.45,
    troubles: [
      { backend: 0, fromMs: 2_000, untilMs: 7_000, how: 'slow', times: 8 },
      { backend: 1, fromMs: 2_500, untilMs: 7_000, how: 'slow', times: 8 },
      { backend: 3, fromMs: 4_000, untilMs: 8_000, how: 'hang', times: 1 },
    ],
  },
  /** The calm load on as many processes as the larger deployments have. */
  wide: { ...base, seconds: 4, load: 5, entries: 12, backends: 66 },
  /** One in a hundred of the small batches crashes each backend server that starts it. */
  crashing: {
    ...base,
    load: 2,
    entries: 4,
    backends: 24,
    crashing: { share: 0.01, downMs: 2_000 },
  },
  /** Backend servers of two speeds, at half of the capacity. */
  twospeed: { ...twospeed, load: 0.5 * TWOSPEED_FULL },
  /** The same at four fifths of the capacity. */
  twospeedbusy: { ...twospeed, load: 0.8 * TWOSPEED_FULL },
  /** The same at 95% of the capacity. */
  twospeedfull: { ...twospeed, load: 0.95 * TWOSPEED_FULL },
  /** A sixth of the backend servers loses power at once, at three quarters of the capacity. */
  rackloss: {
    ...base,
    ...{ load: 4.1, entries: 6, backends: 36 },
    troubles: Array.from({ length: 6 }, (_, backend) => ({
      backend,
      ...{ fromMs: 3_000, untilMs: 7_000, how: 'crash', times: 1 },
    })),
  },
  /** Entries with little processor time, at three quarters of the capacity and a burst that exceeds it. */
  starved: {
    ...base,
    ...{ seconds: 14, load: 1, entries: 5, backends: 15, bursts: [1, 1, 2.5] },
    processor: { share: 0.12, requestMs: 1.2, messageMs: 0.12 },
  },
  /**
   * Two thirds of the backend servers are 2.4 times as fast as the others. An entry is killed at the peak, when demand
   * equals capacity; the entries' machines have links of 2 Mbit/s.
   */
  uneven: {
    ...base,
    ...{ seconds: 9, load: 1.8, entries: 3, backends: 15, bursts: [1.4, 1.4, 1.4] },
    ...{ work: 'ledgers', rowSpeeds: [0.7, 0.7, 1.7], linkBytesPerMs: 250 },
    absences: [{ entry: 1, fromMs: 4_000, untilMs: 6_000 }],
  },
  /** Demand of all queues together at 130% of the capacity for four seconds; 60% before and after. */
  shortage: {
    ...ledgers,
    ...{ seconds: 11, load: 0.6 * LEDGERS_FULL },
    phases: [{ fromMs: 3_000, untilMs: 7_000, times: [1.3 / 0.6, 1.3 / 0.6, 1.3 / 0.6] }],
  },
  /** Short urgent work at three quarters of the capacity, and bursts of the longest, least urgent work up to a third. */
  longburst: {
    ...ledgers,
    ...{ seconds: 12, load: 1.05 * LEDGERS_FULL },
    phases: [
      { fromMs: 0, untilMs: 3_000, times: [1, 0.5, 1] },
      { fromMs: 3_000, untilMs: 5_000, times: [1, 1, 1] },
      { fromMs: 5_000, untilMs: 7_500, times: [1, 0.5, 1] },
      { fromMs: 7_500, untilMs: 9_500, times: [1, 1.25, 1] },
      { fromMs: 9_500, untilMs: 12_000, times: [1, 0.5, 1] },
    ],
  },
};

export default draws;
