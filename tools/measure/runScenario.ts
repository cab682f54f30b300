import Random from '../../src/core/Random';
import Cluster from '../harness/Cluster';
import type ClusterSize from '../harness/ClusterSize';
import type AnsweredArrival from './AnsweredArrival';
import type Arrival from './Arrival';
import CountReader from './CountReader';
import ZONE_DELAY_MS from './ZONE_DELAY_MS';
import LoadGenerator from './LoadGenerator';
import measuredManifest from './measuredManifest';
import replayIdeal from './replayIdeal';
import type RunResult from './RunResult';
import type Scenario from './Scenario';
import scenarios from './scenarios';
import StretchHistograms from './StretchHistograms';
import Workload from './Workload';

interface RunOptions {
  readonly scenario: string;
  readonly policy: string;
  readonly size: ClusterSize;
  readonly seed: number;
  /** Length of the load after the warm-up. */
  readonly lengthMs: number;
  /** Factor that lengthens tasks, network delays and the time between arrivals. */
  readonly slower: number;
}

/** Runs a scenario on real processes and compares it with the ideal queue. */
export default async function runScenario(options: RunOptions): Promise<RunResult> {
  const scenario = scenarios[options.scenario]!;
  const arrivals = arrivalsOf(scenario, options);
  const cluster = await startCluster(options);
  try {
    await scenario.prepare?.(cluster);
    const counts = CountReader.create(cluster.processes);
    await counts.begin();
    const fault = faultLater(scenario, cluster, counts, WARM_UP_MS + options.lengthMs / 2);
    const counted = countAtEnd(counts, WARM_UP_MS + options.lengthMs);
    const answers = await LoadGenerator.create(cluster, scenario.deadlineMs).run(arrivals);
    await fault;
    return {
      ...summarize(options, scenario, arrivals, answers),
      doubled: [...(await cluster.countStarts()).values()].filter((starts) => starts > 1).length,
      counts: await counted,
      final: await counts.totals(),
    };
  } finally {
    await cluster.stop();
  }
}

const WARM_UP_MS = 2000;

function arrivalsOf(
  scenario: Scenario,
  { size, seed, lengthMs, slower }: RunOptions,
): readonly Arrival[] {
  const slots = size.backends * size.slots;
  const offer = { slots, entries: size.entries, warmUpMs: WARM_UP_MS, slower };
  const workload = Workload.create(Random.fromSeed(seed), offer);
  scenario.addLoad(workload, 0, WARM_UP_MS + lengthMs);
  return workload.build();
}

async function startCluster({ size, policy, slower }: RunOptions): Promise<Cluster> {
  const cluster = await Cluster.start(size, measuredManifest, {
    entry: { dispatch: { policy } },
    program: 'measuredDaemon',
  });
  await Promise.all(
    cluster.backendNames.map((name) =>
      cluster.putFaults(name, { delayMs: 2 * ZONE_DELAY_MS * slower }),
    ),
  );
  return cluster;
}

/** Reads the counters when the load ends, so that the quiet time while the last tasks run is left out. */
async function countAtEnd(counts: CountReader, afterMs: number): Promise<RunResult['counts']> {
  await sleep(afterMs);
  return counts.totals();
}

async function faultLater(
  { injectFault }: Scenario,
  cluster: Cluster,
  counts: CountReader,
  afterMs: number,
): Promise<void> {
  if (!injectFault) return;
  await sleep(afterMs);
  await injectFault(cluster, counts);
}

function summarize(
  { scenario: name, policy, size, lengthMs, slower }: RunOptions,
  scenario: Scenario,
  arrivals: readonly Arrival[],
  answers: readonly AnsweredArrival[],
): Omit<RunResult, 'counts' | 'final' | 'doubled'> {
  const slots = size.backends * size.slots;
  const stretches = StretchHistograms.create();
  const outcomes: Record<string, number> = {};
  answers.forEach(({ arrival, outcome, responseMs }) => {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    if (outcome === 'completed' && arrival.measured) stretches.add(arrival, responseMs, slots);
  });
  const completed = answers.filter(({ outcome }) => outcome === 'completed');
  const busyMs = completed
    .filter(({ arrival, responseMs }) => inLoad(arrival.atMs + responseMs, lengthMs))
    .reduce((sum, { arrival }) => sum + runMsOf(arrival), 0);
  return {
    scenario: name,
    policy,
    stretches,
    ideal: replayIdeal(arrivals, scenario.idealSlots ?? slots, ZONE_DELAY_MS * slower),
    outcomes,
    offered: arrivals.reduce((sum, { taskRunMs }) => sum + taskRunMs.length, 0),
    completed: completed.reduce((sum, { arrival }) => sum + arrival.taskRunMs.length, 0),
    throughput: busyMs / (lengthMs * slots),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function inLoad(atMs: number, lengthMs: number): boolean {
  return atMs >= WARM_UP_MS && atMs <= WARM_UP_MS + lengthMs;
}

function runMsOf({ taskRunMs }: Arrival): number {
  return taskRunMs.reduce((sum, run) => sum + run, 0);
}
