import Cluster from '../harness/Cluster';
import pause from '../measureCapacity/pause';
import Bench from './Bench';
import callsBetween from './callsBetween';
import ConfigurationLog from './ConfigurationLog';
import Operator from './Operator';
import phases from './phases';
import type SizeResult from './SizeResult';
import summarizePhase from './summarizePhase';

/** Runs all phases on real processes, of which a tenth, but at least three, are entries. */
export default async function measureSize(processes: number): Promise<SizeResult> {
  const entries = Math.max(3, Math.round(processes / 10));
  const log = ConfigurationLog.create();
  const size = { entries, backends: 0, slots: 1, connections: 1, zones: 3 };
  const cluster = await Cluster.start(size, MANIFEST, { watch: log });
  try {
    const sidecars = numbered('sidecar', processes - entries);
    for (let at = 0; at < sidecars.length; at += MAX_CONCURRENT_STARTS) {
      const batch = sidecars.slice(at, at + MAX_CONCURRENT_STARTS);
      await Promise.all(batch.map((name) => cluster.startSidecar(name)));
    }
    await whenSettled(log, processes, 1);
    const operators = ['one', 'other'].map((name) =>
      Operator.create(name, cluster.platform, MANIFEST),
    );
    return await runPhases(Bench.of(cluster, log, operators, sidecars));
  } finally {
    await cluster.stop();
  }
}

const MANIFEST = { services: [{ name: 'booking' }], teams: [], system: {} };
const MAX_CONCURRENT_STARTS = 10;
const QUIET_SECONDS = 10;
const SETTLE_TIMEOUT_MS = 30_000;

async function runPhases(bench: Bench): Promise<SizeResult> {
  const { cluster, log, operators, sidecars } = bench;
  const entries = cluster.entryNames;
  await pause(2);
  const before = await bench.storeCalls();
  await pause(QUIET_SECONDS);
  const quiet = callsBetween(before, await bench.storeCalls(), entries);
  let burst: Record<string, number> = {};
  for (const [phase, run] of Object.entries(phases)) {
    const start = await bench.storeCalls();
    await run(bench, phase);
    await whenSettled(log, entries.length + sidecars.length, bench.applied.at(-1)!.version);
    if (phase.startsWith('burst')) burst = callsBetween(start, await bench.storeCalls(), entries);
  }
  const applied = bench.applied.filter(({ phase }) => phase.startsWith('burst')).length;
  const all = callsBetween({}, await bench.storeCalls(), sidecars);
  return {
    entries: entries.length,
    sidecars: sidecars.length,
    phases: Object.keys(phases).map((phase) => summarizePhase(phase, bench.applied, log)),
    reversions: log.reversions,
    conflicts: operators.reduce((sum, { conflicts }) => sum + conflicts, 0),
    quietCalls: divide(quiet, entries.length * QUIET_SECONDS),
    burstCalls: divide(burst, entries.length * applied),
    sidecarCalls: Object.values(all).reduce((sum, count) => sum + count, 0),
  };
}

/** Resolves when the version is in effect at every process, or after 30 s. */
async function whenSettled(
  log: ConfigurationLog,
  processes: number,
  version: number,
): Promise<void> {
  const deadline = Date.now() + SETTLE_TIMEOUT_MS;
  const isSettled = () =>
    log.names.filter((name) => log.newestAt(name) >= version).length >= processes;
  while (!isSettled() && Date.now() < deadline) await pause(0.05);
}

function divide(calls: Record<string, number>, by: number): Record<string, number> {
  const rounded = (count: number) => Math.round((count / by) * 1000) / 1000;
  return Object.fromEntries(Object.entries(calls).map(([kind, count]) => [kind, rounded(count)]));
}

function numbered(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}-${at + 1}`);
}
