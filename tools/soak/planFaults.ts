import type Random from '../../src/core/Random';
import type Fault from './Fault';

interface PlanOptions {
  readonly entries: readonly string[];
  readonly sidecars: readonly string[];
  /** All faults end by this time, ms since the start of the run. */
  readonly endMs: number;
}

/** Draws the faults of a run: single faults and series of the same fault, which may overlap. */
export default function planFaults(
  random: Random,
  { entries, sidecars, endMs }: PlanOptions,
): Fault[] {
  const faults: Fault[] = [];
  let atMs = FIRST_FAULT_MS;
  while (atMs < endMs - MIN_GAP_MS) {
    const kind = KINDS[random.below(KINDS.length)]!;
    const count = random.below(4) === 0 ? 2 + random.below(3) : 1;
    let beginMs = atMs;
    for (let index = 0; index < count && beginMs < endMs - MIN_GAP_MS; index += 1) {
      const forMs = Math.min(endMs - beginMs, draw(random, DURATIONS_MS[kind]));
      faults.push({ kind, atMs: beginMs, forMs, ...detailsOf(random, kind, entries, sidecars) });
      beginMs += MIN_GAP_MS + random.below(MAX_SERIES_GAP_MS);
    }
    atMs += MIN_GAP_MS + random.below(MAX_GAP_MS);
  }
  return faults.sort((one, other) => one.atMs - other.atMs);
}

function detailsOf(
  random: Random,
  kind: Fault['kind'],
  entries: readonly string[],
  sidecars: readonly string[],
): Omit<Fault, 'kind' | 'atMs' | 'forMs'> {
  const all = [...entries, ...sidecars];
  const pick = (names: readonly string[]): string => names[random.below(names.length)]!;
  if (kind === 'crash' || kind === 'restart') return { target: pick(sidecars) };
  if (kind === 'hang-up') return { target: pick(entries) };
  if (!LINK_FAULTS.has(kind)) return { target: random.below(2) === 0 ? pick(entries) : pick(all) };
  const target = pick(entries);
  const from = random.below(2) === 0 ? pick(all.filter((name) => name !== target)) : undefined;
  const sides = [['near'], ['far'], ['near', 'far']][random.below(3)] as Fault['sides'];
  const [alsoNew, endsByReset] = [random.below(3) === 0, random.below(3) > 0];
  return { target, from, sides, alsoNew, endsByReset, ms: 10 + random.below(MAX_ADDED_DELAY_MS) };
}

function draw(random: Random, [least, most]: readonly [number, number]): number {
  return least + random.below(most - least);
}

/** When the first fault starts, ms since the start of the run. */
const FIRST_FAULT_MS = 2_500;

/** Maximum pause between faults beyond MIN_GAP_MS, ms; the mean is half of it. */
const MAX_GAP_MS = 1_600;

/** Maximum pause between the starts of the faults of a series beyond MIN_GAP_MS, ms. */
const MAX_SERIES_GAP_MS = 1_500;

/** Minimum pause between faults, and minimum time before the end of the run, ms. */
const MIN_GAP_MS = 100;

/** Maximum added delay beyond 10 ms, ms. */
const MAX_ADDED_DELAY_MS = 300;

/** Faults of connections between processes. */
const LINK_FAULTS: ReadonlySet<Fault['kind']> = new Set(['silence', 'cut', 'reset', 'delay']);

/** Shortest and longest duration of each fault, ms; a long silence outlasts the time-out of a session. */
const DURATIONS_MS: Readonly<Record<Fault['kind'], readonly [number, number]>> = {
  silence: [1_000, 40_000],
  cut: [200, 8_000],
  reset: [100, 200],
  delay: [500, 8_000],
  pause: [200, 9_000],
  kill: [300, 3_000],
  stop: [300, 2_000],
  reload: [100, 200],
  'hang-up': [100, 200],
  crash: [100, 3_000],
  // A start request that waits for the restart for longer than its lease is reported as ended.
  restart: [50, 600],
  flood: [3_000, 15_000],
  'store-down': [500, 8_000],
  'store-slow': [500, 8_000],
  'store-loses-answers': [500, 5_000],
  'store-cut': [500, 10_000],
};

/** The kinds to draw from; faults of connections are repeated because they are the most frequent in practice. */
const KINDS = [
  ...(Object.keys(DURATIONS_MS) as Fault['kind'][]),
  'silence',
  'silence',
  'cut',
] as const;
