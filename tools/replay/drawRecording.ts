import Random from '../../src/core/Random';
import type Draw from './Draw';
import type Recording from './Recording';

/**
 * Draws a recording from the figures in the users' pages for their three kinds of request: arrivals
 * at random, widths, durations and sizes spread around their means, estimates wrong by 40%.
 */
export default function drawRecording(draw: Draw): Recording {
  const { seed, seconds, load, entries, backends, troubles, bursts } = draw;
  const random = Random.fromSeed(seed);
  const batches = kinds.flatMap((kind, queue) => {
    const arrivals = arrivalsOf(random, kind.perSecond * load, bursts[queue] ?? 1, seconds);
    return arrivals.map((atMs) => drawBatch(random, queue, atMs, entries));
  });
  batches.sort((a, b) => a.atMs - b.atMs);
  return {
    source: `drawn from the users' figures, ${JSON.stringify({ seed, seconds, load, bursts })}`,
    entries,
    zones: ZONES,
    zoneMs: 0.5,
    ...(draw.processor && { processor: draw.processor }),
    backends: Array.from({ length: backends }, (_, number) => ({
      zone: number % ZONES,
      cpuMilli: number % 3 === 2 ? 48_000 : 32_000,
    })),
    queues: kinds.map(({ perSecond, width, meanMs, ...queue }) => ({
      ...queue,
      stretch: 1.6,
      targetLatencyMs: 60,
      meanWork: width * meanMs * TASK_CPU,
    })),
    troubles,
    ...(draw.crashing && { crashing: drawCrashing(draw.crashing, random, batches) }),
    batches,
  };
}

function drawCrashing(
  { share, downMs }: NonNullable<Draw['crashing']>,
  random: Random,
  batches: Recording['batches'],
): NonNullable<Recording['crashing']> {
  const numbers = [...batches.keys()];
  const crashing = numbers.filter((one) => batches[one]!.queue === 0 && random.unit() < share);
  return { batches: crashing, downMs };
}

const ZONES = 3;

/** Cores that a task asks for on average, in thousandths. */
const TASK_CPU = 3_100;

/** The kinds of request of the users' page on bookings. */
const kinds = [
  {
    ...{ name: 'search', priority: 0, maxAttempts: 2, worth: 0.0291, lateWorth: 0.00582 },
    ...{ perSecond: 24.1, width: 8, meanMs: 85.7 },
  },
  {
    ...{ name: 'intake', priority: 2, maxAttempts: 2, worth: 0.16, lateWorth: 0.032 },
    ...{ perSecond: 4.37, width: 4, meanMs: 1_286 },
  },
  {
    ...{ name: 'reminder', priority: 1, maxAttempts: 3, worth: 0.01, lateWorth: 0.002 },
    ...{ perSecond: 70, width: 2, meanMs: 286 },
  },
];

function arrivalsOf(random: Random, perSecond: number, burst: number, seconds: number): number[] {
  const arrivals: number[] = [];
  let atMs = 0;
  while (atMs < seconds * 1_000) {
    const isBurst = atMs >= 3_000 && atMs < 7_000;
    atMs += (-Math.log(1 - random.unit()) * 1_000) / (perSecond * (isBurst ? burst : 1));
    arrivals.push(Math.round(atMs));
  }
  return arrivals;
}

function drawBatch(
  random: Random,
  queue: number,
  atMs: number,
  entries: number,
): Recording['batches'][number] {
  const { width, meanMs } = kinds[queue]!;
  const count = Math.max(1, Math.round(spread(random, width, 0.4)));
  const batchMs = spread(random, meanMs, 0.4);
  return {
    ...{ atMs, queue, entry: random.below(entries) },
    cpuMilli: Math.round(spread(random, TASK_CPU, 0.2)),
    estimateMs: Math.round(batchMs * spread(random, 1, 0.4)),
    tasksMs: Array.from({ length: count }, () => Math.round(spread(random, batchMs, 0.15))),
  };
}

/** A log-normal number with the mean and the relative spread. */
function spread(random: Random, mean: number, share: number): number {
  const sigma = Math.sqrt(Math.log(1 + share * share));
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.unit())) * Math.cos(2 * Math.PI * random.unit());
  return Math.min(mean * 4, mean * Math.exp(sigma * normal - (sigma * sigma) / 2));
}
