import Cluster from '../harness/Cluster';
import pause from '../measureCapacity/pause';
import Bench from './Bench';
import callsBetween from './callsBetween';
import InForceLog from './InForceLog';
import Operator from './Operator';
import phases from './phases';
import type SizeResult from './SizeResult';
import summarizePhase from './summarizePhase';

/** Runs all phases on real processes, a tenth of them entries and at least three. */
export default async function measureSize(processes: number): Promise<SizeResult> {
  const entries = Math.max(3, Math.round(processes / 10));
  const log = InForceLog.create();
  const size = { entries, backends: 0, slots: 1, connections: 1, zones: 3 };
  const cluster = await Cluster.start(size, MANIFEST, { watch: log });
  try {
    const sidecars = numbered('sidecar', processes - entries);
    for (let at = 0; at < sidecars.length; at += STARTED_AT_ONCE) {
      const some = sidecars.slice(at, at + STARTED_AT_ONCE);
      await Promise.all(some.map((name) => cluster.startSidecar(name)));
    }
    await settled(log, processes, 1);
    const operators = ['one', 'other'].map((name) =>
      Operator.create(name, cluster.platform, MANIFEST),
    );
    return await runPhases(Bench.of(cluster, log, operators, sidecars));
  } finally {
    await cluster.stop();
  }
}

const MANIFEST = { services: [{ name: 'booking' }], teams: [], system: {} };
const STARTED_AT_ONCE = 10;
const QUIET_S = 10;
const SETTLE_LIMIT_MS = 30_000;

async function runPhases(bench: Bench): Promise<SizeResult> {
  const { cluster, log, operators, sidecars } = bench;
  const entries = cluster.entryNames;
  await pause(2);
  const before = await bench.calls();
  await pause(QUIET_S);
  const quiet = callsBetween(before, await bench.calls(), entries);
  let burst: Record<string, number> = {};
  for (const [phase, run] of Object.entries(phases)) {
    const start = await bench.calls();
    await run(bench, phase);
    await settled(log, entries.length + sidecars.length, bench.applied.at(-1)!.version);
    if (phase.startsWith('burst')) burst = callsBetween(start, await bench.calls(), entries);
  }
  const applied = bench.applied.filter(({ phase }) => phase.startsWith('burst')).length;
  const all = callsBetween({}, await bench.calls(), sidecars);
  return {
    entries: entries.length,
    sidecars: sidecars.length,
    phases: Object.keys(phases).map((phase) => summarizePhase(phase, bench.applied, log)),
    reversions: log.reversions,
    conflicts: operators.reduce((sum, { conflicts }) => sum + conflicts, 0),
    quietCalls: divided(quiet, entries.length * QUIET_S),
    burstCalls: divided(burst, entries.length * applied),
    sidecarCalls: Object.values(all).reduce((sum, count) => sum + count, 0),
  };
}

/** Resolves when every process has the version in force, or when that takes far too long. */
async function settled(log: InForceLog, processes: number, version: number): Promise<void> {
  const end = Date.now() + SETTLE_LIMIT_MS;
  const isSettled = () =>
    log.names.filter((name) => log.newestAt(name) >= version).length >= processes;
  while (!isSettled() && Date.now() < end) await pause(0.05);
}

function divided(calls: Record<string, number>, by: number): Record<string, number> {
  const rounded = (count: number) => Math.round((count / by) * 1000) / 1000;
  return Object.fromEntries(Object.entries(calls).map(([kind, count]) => [kind, rounded(count)]));
}

function numbered(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}-${at + 1}`);
}
