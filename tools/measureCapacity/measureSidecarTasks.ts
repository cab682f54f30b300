import Cluster from '../harness/Cluster';
import JobLoad from './JobLoad';
import createManifest from './createManifest';
import pause from './pause';
import sampleProcess from './sampleProcess';
import Series from './Series';

const WARM_UP = { rate: 400, seconds: 4 };
const RATES = [30, 100, 300];
const RATE_SECONDS = 4;
const TASK_MS = 10;
const JOB_SIZE = 10;

/** Resource use of one sidecar for tasks that it starts at a backend server stand-in. */
const series = {
  cpu: Series.over('task start/s', 'sidecar: processor time', 'ms/s'),
  memory: Series.of('sidecar: resident memory after about 3,300 tasks', 'MB'),
  failed: Series.of('sidecar: jobs that failed', 'jobs'),
};

/** Runs one round: one entry, one sidecar and its backend server. */
export default async function measureSidecarTasks(round: number): Promise<void> {
  const size = { entries: 1, backends: 1, slots: 32, connections: 64, zones: 1 };
  const cluster = await Cluster.start(size, createManifest(10));
  const load = JobLoad.to(cluster.callersUrl('entry-1'), JOB_SIZE, TASK_MS);
  try {
    await load.submitAtRate(WARM_UP.rate, WARM_UP.seconds);
    await pause(1);
    for (const rate of RATES) await measureRate(cluster, load, round, rate);
    series.failed.add(round, load.failed);
    series.memory.add(round, sampleProcess(cluster.processes.pid('sidecar-1')).rssMb);
  } finally {
    await load.close();
    await cluster.stop();
  }
}

/** The series that the rounds fill. */
measureSidecarTasks.series = (): Series[] => Object.values(series);

async function measureRate(
  cluster: Cluster,
  load: JobLoad,
  round: number,
  rate: number,
): Promise<void> {
  const pid = cluster.processes.pid('sidecar-1');
  const before = sampleProcess(pid);
  const { tasks } = load;
  await load.submitAtRate(rate, RATE_SECONDS);
  const after = sampleProcess(pid);
  const seconds = (after.at - before.at) / 1000;
  const reached = (load.tasks - tasks) / seconds;
  series.cpu.add(round, (after.cpuMs - before.cpuMs) / seconds, reached);
}
