import EntryLoad from './EntryLoad';
import Series from './Series';

const WARM_UP = { rate: 1500, seconds: 2 };
const SATURATION_SECONDS = 3;
/** Enough repetitions that the records outweigh garbage that isn't collected yet. */
const MEMORY_REPETITIONS = 4;
/** Number of tasks running or queued at the same time, more than there are slots. */
const TASKS_IN_FLIGHT = 6400;

const JOB_SIZES = [20, 320];

const cases = JOB_SIZES.map((size) => ({
  size,
  maxRate: Series.of(`one entry, jobs of ${size}: most starts a second`, '1/s'),
  cpu: Series.of(`one entry, jobs of ${size}: processor time at the most`, 'ms/s'),
  perTask: Series.of(`one entry, jobs of ${size}: processor time a task at the most`, 'ms'),
}));

const memory = Series.over('1,000 tasks kept', 'one entry: resident memory', 'MB');

/** Runs one round: saturates one entry with jobs. */
export default async function measureEntryLimit(round: number): Promise<void> {
  const entryLoad = await EntryLoad.start(1);
  let recordedTasks = 0;
  try {
    for (const each of cases) recordedTasks += await measureSize(entryLoad, round, each);
    await measureMemory(entryLoad, round, recordedTasks);
  } finally {
    await entryLoad.stop();
  }
}

/** The series that the rounds fill. */
measureEntryLimit.series = (): Series[] => [
  ...cases.flatMap(({ maxRate, cpu, perTask }) => [maxRate, cpu, perTask]),
  memory,
];

/** Resolves to the number of completed tasks, whose records the entry keeps. */
async function measureSize(
  entryLoad: EntryLoad,
  round: number,
  { size, maxRate, cpu, perTask }: (typeof cases)[number],
): Promise<number> {
  const load = entryLoad.createLoad(size);
  await load.submitAtRate(WARM_UP.rate, WARM_UP.seconds);
  const cost = await entryLoad.measureCost(() =>
    load.saturate(TASKS_IN_FLIGHT / size, SATURATION_SECONDS),
  );
  await load.close();
  maxRate.add(round, cost.tasks / cost.seconds);
  cpu.add(round, cost.cpuMs / cost.seconds);
  perTask.add(round, cost.cpuMs / cost.tasks);
  return load.tasks;
}

async function measureMemory(
  entryLoad: EntryLoad,
  round: number,
  recordedBefore: number,
): Promise<void> {
  const size = JOB_SIZES.at(-1)!;
  const load = entryLoad.createLoad(size);
  for (let repetition = 0; repetition < MEMORY_REPETITIONS; repetition += 1) {
    memory.add(round, entryLoad.memoryMb, (recordedBefore + load.tasks) / 1000);
    await load.saturate(TASKS_IN_FLIGHT / size, SATURATION_SECONDS);
  }
  memory.add(round, entryLoad.memoryMb, (recordedBefore + load.tasks) / 1000);
  await load.close();
}
