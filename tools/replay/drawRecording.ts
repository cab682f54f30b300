import Random from '../../src/core/Random';
import type DrawOptions from './DrawOptions';
import workloads from './workloads';
import type Recording from './Recording';

/**
 * Generates a random recording from the request rates and sizes in the users' documentation: Poisson
 * arrivals; widths, durations and sizes vary around their means; estimates have a relative error of 40%.
 */
export default function drawRecording(draw: DrawOptions): Recording {
  const { seed, seconds, load, entries, troubles, bursts } = draw;
  const random = Random.fromSeed(seed);
  const work = workloads[draw.work ?? 'bookings'];
  const batches = work.kinds.flatMap((kind, queue) => {
    const rateAt = (atMs: number): number =>
      kind.perSecond * load * loadFactorAt(draw, queue, atMs);
    const arrivals = arrivalsOf(random, rateAt, seconds);
    return arrivals.map((atMs) => drawBatch(random, work, queue, atMs, entries));
  });
  batches.sort((a, b) => a.atMs - b.atMs);
  return {
    source: `drawn from the users' figures, ${JSON.stringify({ seed, seconds, load, bursts })}`,
    entries,
    zones: ZONES,
    zoneMs: 0.5,
    ...(draw.processor && { processor: draw.processor }),
    ...(draw.linkBytesPerMs && { linkBytesPerMs: draw.linkBytesPerMs }),
    ...(draw.absences && { absences: draw.absences }),
    backends: drawBackends(draw, work.unitMilli),
    queues: work.kinds.map(({ perSecond, width, meanMs, ...queue }) => ({
      ...queue,
      stretch: 1.6,
      targetLatencyMs: 60,
      meanWork: width * meanMs * work.taskMilli,
    })),
    troubles,
    ...(draw.crashing && { crashing: drawCrashing(draw.crashing, random, batches) }),
    ...(draw.tail && { tail: drawTail(draw.tail, random, batches) }),
    batches,
  };
}

/** Assigns duration ratios with a separate random generator, so that the load does not depend on them. */
function drawBackends(
  { backends, backendMilli, speeds, rowSpeeds, seed }: DrawOptions,
  unitMilli: number,
): Recording['backends'] {
  const random = Random.fromSeed(seed);
  const assigned = Array.from({ length: backends }, (_, number) => ({
    speed: speeds?.[number % speeds.length] ?? rowSpeeds?.[rowOf(number) % rowSpeeds.length],
    at: speeds ? random.unit() : number,
  })).sort((a, b) => a.at - b.at);
  return assigned.map(({ speed }, number) => ({
    zone: number % ZONES,
    cpuMilli: backendMilli ?? unitMilli * (number % 3 === 2 ? 3 : 2),
    ...(speed !== undefined && { speed }),
  }));
}

/** A row has one backend server in each availability zone. */
function rowOf(number: number): number {
  return Math.floor(number / ZONES);
}

function drawTail(
  { share, times }: NonNullable<DrawOptions['tail']>,
  random: Random,
  batches: Recording['batches'],
): NonNullable<Recording['tail']> {
  const tasks = batches.flatMap(({ tasksMs }, batch) =>
    tasksMs.map((_, index): [number, number] => [batch, index]),
  );
  return { tasks: tasks.filter(() => random.unit() < share), times };
}

function drawCrashing(
  { share, downMs }: NonNullable<DrawOptions['crashing']>,
  random: Random,
  batches: Recording['batches'],
): NonNullable<Recording['crashing']> {
  const numbers = [...batches.keys()];
  const crashing = numbers.filter((index) => batches[index]!.queue === 0 && random.unit() < share);
  return { batches: crashing, downMs };
}

const ZONES = 3;

/** Multiple of a queue's usual load at a time. */
function loadFactorAt({ bursts, phases = [] }: DrawOptions, queue: number, atMs: number): number {
  const burst = atMs >= 3_000 && atMs < 7_000 ? (bursts[queue] ?? 1) : 1;
  const active = phases.filter(({ fromMs, untilMs }) => atMs >= fromMs && atMs < untilMs);
  return active.reduce((product, { times }) => product * (times[queue] ?? 1), burst);
}

function arrivalsOf(random: Random, rateAt: (atMs: number) => number, seconds: number): number[] {
  const arrivals: number[] = [];
  let atMs = 0;
  while (atMs < seconds * 1_000) {
    atMs += (-Math.log(1 - random.unit()) * 1_000) / rateAt(atMs);
    arrivals.push(Math.round(atMs));
  }
  return arrivals;
}

function drawBatch(
  random: Random,
  { kinds, taskMilli }: (typeof workloads)['bookings'],
  queue: number,
  atMs: number,
  entries: number,
): Recording['batches'][number] {
  const { width, meanMs } = kinds[queue]!;
  const count = Math.max(1, Math.round(logNormal(random, width, 0.4)));
  const batchMs = logNormal(random, meanMs, 0.4);
  return {
    ...{ atMs, queue, entry: random.below(entries) },
    cpuMilli: Math.round(logNormal(random, taskMilli, 0.2)),
    estimateMs: Math.round(batchMs * logNormal(random, 1, 0.4)),
    tasksMs: Array.from({ length: count }, () => Math.round(logNormal(random, batchMs, 0.15))),
  };
}

/** Draws a log-normal number with this mean and relative standard deviation, at most four times the mean. */
function logNormal(random: Random, mean: number, deviation: number): number {
  const sigma = Math.sqrt(Math.log(1 + deviation * deviation));
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.unit())) * Math.cos(2 * Math.PI * random.unit());
  return Math.min(mean * 4, mean * Math.exp(sigma * normal - (sigma * sigma) / 2));
}
