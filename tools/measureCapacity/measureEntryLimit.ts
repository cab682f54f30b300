import EntryLoad from './EntryLoad';
import Series from './Series';

const WARM_UP = { rate: 1500, seconds: 2 };
const SECONDS = 3;
/** Goes on for long enough that records outweigh what the collector leaves for later. */
const MEMORY_TIMES = 4;
/** Tasks in flight or waiting at once, more than there are slots. */
const TASKS_IN_FLIGHT = 6400;

const JOB_SIZES = [20, 320];

const cases = JOB_SIZES.map((size) => ({
  size,
  most: Series.of(`one entry, jobs of ${size}: most starts a second`, '1/s'),
  cpu: Series.of(`one entry, jobs of ${size}: processor time at the most`, 'ms/s'),
  perTask: Series.of(`one entry, jobs of ${size}: processor time a task at the most`, 'ms'),
}));

const memory = Series.over('1,000 tasks kept', 'one entry: resident memory', 'MB');

/** Runs one round: an entry with as many jobs as it takes. */
export default async function measureEntryLimit(round: number): Promise<void> {
  const entryLoad = await EntryLoad.start(1);
  let kept = 0;
  try {
    for (const each of cases) kept += await measureSize(entryLoad, round, each);
    await measureMemory(entryLoad, round, kept);
  } finally {
    await entryLoad.stop();
  }
}

/** The series that the rounds fill. */
measureEntryLimit.series = (): Series[] => [
  ...cases.flatMap(({ most, cpu, perTask }) => [most, cpu, perTask]),
  memory,
];

/** Resolves to the number of tasks that the entry has a record of. */
async function measureSize(
  entryLoad: EntryLoad,
  round: number,
  { size, most, cpu, perTask }: (typeof cases)[number],
): Promise<number> {
  const load = entryLoad.callers(size);
  await load.atRate(WARM_UP.rate, WARM_UP.seconds);
  const cost = await entryLoad.costOf(() => load.saturate(TASKS_IN_FLIGHT / size, SECONDS));
  await load.close();
  most.add(round, cost.tasks / cost.seconds);
  cpu.add(round, cost.cpuMs / cost.seconds);
  perTask.add(round, cost.cpuMs / cost.tasks);
  return load.tasks;
}

async function measureMemory(entryLoad: EntryLoad, round: number, before: number): Promise<void> {
  const size = JOB_SIZES.at(-1)!;
  const load = entryLoad.callers(size);
  for (let times = 0; times < MEMORY_TIMES; times += 1) {
    memory.add(round, entryLoad.memoryMb, (before + load.tasks) / 1000);
    await load.saturate(TASKS_IN_FLIGHT / size, SECONDS);
  }
  memory.add(round, entryLoad.memoryMb, (before + load.tasks) / 1000);
  await load.close();
}
