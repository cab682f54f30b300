import EntryLoad from './EntryLoad';
import Series from './Series';

const WARM_UP = { rate: 1500, seconds: 10 };
const RATES = [500, 1500];
const RATE_SECONDS = 3;
const PER_TASK_START = 'task start/s';

/** Numbers of entries and job sizes. Callers use one entry, which forwards jobs that other entries own. */
const cases = [
  { entries: 1, size: 20, name: 'one entry, jobs of 20' },
  { entries: 3, size: 20, name: 'three entries, jobs of 20, two of three forwarded' },
].map(({ entries, size, name }) => ({
  entries,
  size,
  cpu: Series.over(PER_TASK_START, `${name}: processor time of all entries`, 'ms/s'),
  bytes: Series.over(PER_TASK_START, `${name}: bytes on sidecar links`, 'bytes/s'),
  messages: Series.over(PER_TASK_START, `${name}: messages on sidecar links`, '1/s'),
  failed: Series.of(`${name}: jobs that failed`, 'jobs'),
}));

/** Runs one round of all cases and rates. */
export default async function measureEntryTasks(round: number): Promise<void> {
  for (const each of cases) await measureCase(round, each);
}

/** The series that the rounds fill. */
measureEntryTasks.series = (): Series[] =>
  cases.flatMap(({ cpu, bytes, messages, failed }) => [cpu, bytes, messages, failed]);

async function measureCase(round: number, each: (typeof cases)[number]): Promise<void> {
  const entryLoad = await EntryLoad.start(each.entries);
  const load = entryLoad.createLoad(each.size);
  try {
    await load.submitAtRate(WARM_UP.rate, WARM_UP.seconds);
    for (const rate of RATES) {
      const cost = await entryLoad.measureCost(() => load.submitAtRate(rate, RATE_SECONDS));
      const { seconds, cpuMs, tasks, bytes, messages } = cost;
      each.cpu.add(round, cpuMs / seconds, tasks / seconds);
      each.bytes.add(round, bytes / seconds, tasks / seconds);
      each.messages.add(round, messages / seconds, tasks / seconds);
    }
    each.failed.add(round, load.failed);
  } finally {
    await load.close();
    await entryLoad.stop();
  }
}
