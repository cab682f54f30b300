import { request } from 'undici';
import Cluster from '../harness/Cluster';
import manifestOf from './manifestOf';
import pause from './pause';
import sampleProcess from './sampleProcess';
import Series from './Series';

const ENTRIES = [1, 6];
const LINKS = [1, 1, 6, 6];
const SETTLE_SECONDS = 5;
const WINDOW_SECONDS = 6;

const ENTRY_LINK = 'entry link';
const SIDECAR_LINK = 'link of the sidecar';

/** What whole idle processes use, by the number of entries. */
const series = {
  entryMemory: Series.over(ENTRY_LINK, 'entry, idle: resident memory', 'MB'),
  entryCpu: Series.over(ENTRY_LINK, 'entry, idle: processor time', 'ms/s'),
  sidecarMemory: Series.over(SIDECAR_LINK, 'sidecar, idle: resident memory', 'MB'),
  sidecarCpu: Series.over(SIDECAR_LINK, 'sidecar, idle: processor time', 'ms/s'),
  storeCalls: Series.over('entry', 'store calls of all entries, idle', '1/s'),
};

/** Runs one round: entries alone, then sidecars linked to some of them. */
export default async function measureProcesses(round: number): Promise<void> {
  const sidecar = { links: 1 };
  const size = { entries: 1, backends: 0, slots: 8, connections: 64, zones: 3 };
  const cluster = await Cluster.start(size, manifestOf(10), { sidecar });
  try {
    for (const entries of ENTRIES) await measureEntries(cluster, round, entries);
    await measureSidecars(cluster, round, sidecar);
  } finally {
    await cluster.stop();
  }
}

/** The series that the rounds fill. */
measureProcesses.series = (): Series[] => Object.values(series);

async function measureEntries(cluster: Cluster, round: number, entries: number): Promise<void> {
  const wanted = Array.from({ length: entries }, (_, at) => `entry-${at + 1}`);
  const missing = wanted.filter((name) => !cluster.entryNames.includes(name));
  await Promise.all(missing.map((name) => cluster.startEntry(name)));
  await pause(SETTLE_SECONDS);
  const calls = await storeCalls(cluster);
  const used = await useOf(cluster, wanted);
  const made = (await storeCalls(cluster)) - calls;
  series.storeCalls.add(round, made / WINDOW_SECONDS, entries);
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
  for (const [at, links] of LINKS.entries()) {
    settings.links = links;
    await cluster.startBackend(`sidecar-${at + 1}`);
  }
  await pause(SETTLE_SECONDS);
  const used = await useOf(
    cluster,
    LINKS.map((_, at) => `sidecar-${at + 1}`),
  );
  used.forEach(({ rssMb, cpuMsPerSecond }, at) => {
    series.sidecarMemory.add(round, rssMb, LINKS[at]);
    series.sidecarCpu.add(round, cpuMsPerSecond, LINKS[at]);
  });
}

async function useOf(cluster: Cluster, names: readonly string[]) {
  const pids = names.map((name) => cluster.processes.pid(name));
  const before = pids.map(sampleProcess);
  await pause(WINDOW_SECONDS);
  return pids.map(sampleProcess).map((after, at) => {
    const { cpuMs, at: began } = before[at]!;
    return {
      rssMb: after.rssMb,
      cpuMsPerSecond: ((after.cpuMs - cpuMs) * 1000) / (after.at - began),
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
