import { request } from 'undici';
import Cluster from '../harness/Cluster';
import createManifest from './createManifest';
import pause from './pause';
import sampleProcess from './sampleProcess';
import Series from './Series';

const ENTRY_COUNTS = [1, 6];
const SIDECAR_LINK_COUNTS = [1, 1, 6, 6];
const SETTLE_SECONDS = 5;
const WINDOW_SECONDS = 6;

const PER_ENTRY_LINK = 'entry link';
const PER_SIDECAR_LINK = 'link of the sidecar';

/** Resource use of idle processes, by number of links, and store calls by number of entries. */
const series = {
  entryMemory: Series.over(PER_ENTRY_LINK, 'entry, idle: resident memory', 'MB'),
  entryCpu: Series.over(PER_ENTRY_LINK, 'entry, idle: processor time', 'ms/s'),
  sidecarMemory: Series.over(PER_SIDECAR_LINK, 'sidecar, idle: resident memory', 'MB'),
  sidecarCpu: Series.over(PER_SIDECAR_LINK, 'sidecar, idle: processor time', 'ms/s'),
  storeCalls: Series.over('entry', 'store calls of all entries, idle', '1/s'),
};

/** Runs one round: entries alone, then sidecars with links to some of them. */
export default async function measureProcesses(round: number): Promise<void> {
  const sidecar = { links: 1 };
  const size = { entries: 1, backends: 0, slots: 8, connections: 64, zones: 3 };
  const cluster = await Cluster.start(size, createManifest(10), { sidecar });
  try {
    for (const entries of ENTRY_COUNTS) await measureEntries(cluster, round, entries);
    await measureSidecars(cluster, round, sidecar);
  } finally {
    await cluster.stop();
  }
}

/** The series that the rounds fill. */
measureProcesses.series = (): Series[] => Object.values(series);

async function measureEntries(cluster: Cluster, round: number, entries: number): Promise<void> {
  const wanted = Array.from({ length: entries }, (_, index) => `entry-${index + 1}`);
  const missing = wanted.filter((name) => !cluster.entryNames.includes(name));
  await Promise.all(missing.map((name) => cluster.startEntry(name)));
  await pause(SETTLE_SECONDS);
  const calls = await storeCalls(cluster);
  const used = await usageOf(cluster, wanted);
  const newCalls = (await storeCalls(cluster)) - calls;
  series.storeCalls.add(round, newCalls / WINDOW_SECONDS, entries);
  used.forEach(({ rssMb, cpuMsPerSecond }) => {
    series.entryMemory.add(round, rssMb, entries - 1);
    series.entryCpu.add(round, cpuMsPerSecond, entries - 1);
  });
}

async function measureSidecars(
  cluster: Cluster,
  round: number,
  settings: { links: number },
): Promise<void> {
  for (const [at, links] of SIDECAR_LINK_COUNTS.entries()) {
    settings.links = links;
    await cluster.startBackend(`sidecar-${at + 1}`);
  }
  await pause(SETTLE_SECONDS);
  const used = await usageOf(
    cluster,
    SIDECAR_LINK_COUNTS.map((_, at) => `sidecar-${at + 1}`),
  );
  used.forEach(({ rssMb, cpuMsPerSecond }, at) => {
    series.sidecarMemory.add(round, rssMb, SIDECAR_LINK_COUNTS[at]);
    series.sidecarCpu.add(round, cpuMsPerSecond, SIDECAR_LINK_COUNTS[at]);
  });
}

async function usageOf(cluster: Cluster, names: readonly string[]) {
  const pids = names.map((name) => cluster.processes.pid(name));
  const before = pids.map(sampleProcess);
  await pause(WINDOW_SECONDS);
  return pids.map(sampleProcess).map((after, index) => {
    const { cpuMs, at: startedAt } = before[index]!;
    return {
      rssMb: after.rssMb,
      cpuMsPerSecond: ((after.cpuMs - cpuMs) * 1000) / (after.at - startedAt),
    };
  });
}

async function storeCalls(cluster: Cluster): Promise<number> {
  const { body } = await request(`http://${cluster.platform}/v1/calls`);
  const byClient = (await body.json()) as Record<string, Record<string, number>>;
  return Object.entries(byClient)
    .filter(([client]) => client.startsWith('entry-'))
    .flatMap(([, counts]) => Object.values(counts))
    .reduce((sum, count) => sum + count, 0);
}
