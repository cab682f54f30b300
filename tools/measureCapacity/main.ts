import { cac } from 'cac';
import measureEntryLimit from './measureEntryLimit';
import measureEntryTasks from './measureEntryTasks';
import measureProcesses from './measureProcesses';
import measureRecords from './measureRecords';
import measureSidecarLinks from './measureSidecarLinks';
import measureSidecarTasks from './measureSidecarTasks';
import printSeries from './printSeries';
import runStandIns from './runStandIns';

interface Flags {
  readonly json: boolean;
  readonly only?: string;
}

const ROUNDS = [1, 2, 3];

/** The measures, in their order. Rounds run side by side unless they would slow one another. */
const measures = [
  { run: measureRecords, sideBySide: false },
  { run: measureSidecarLinks, sideBySide: true },
  { run: measureProcesses, sideBySide: true },
  { run: measureSidecarTasks, sideBySide: true },
  { run: measureEntryTasks, sideBySide: true },
  { run: measureEntryLimit, sideBySide: false },
];

const cli = cac('measureCapacity');
cli
  .command('', 'Measure what each unit of size costs each role')
  .option('--json', 'Print the series as JSON', { default: false })
  .option('--only <name>', 'Run the measures whose name contains this')
  .action(measure);
cli
  .command('stand-ins', 'Hold links to an entry in place of sidecars')
  .option('--entry <address>', 'Peer address of the entry')
  .option('--name <name>', 'First part of the names of the sidecars')
  .option('--links <number>', 'Number of links')
  .option('--slots <number>', 'Slots of each sidecar')
  .option('--task-ms <ms>', 'How long a task takes')
  .action(runStandIns);
cli.help();
cli.parse();

async function measure({ json, only = '' }: Flags): Promise<void> {
  const chosen = measures.filter(({ run }) => run.name.includes(only));
  for (const { run, sideBySide } of chosen) {
    await rounds(run, sideBySide);
    const series = run.series();
    if (!json) series.forEach((each) => process.stdout.write(`${printSeries(each)}\n`));
  }
  const all = chosen.flatMap(({ run }) => run.series());
  if (json) process.stdout.write(`${JSON.stringify(all, undefined, 2)}\n`);
  process.exit(0);
}

/** Runs all rounds to their end, so that each ends its processes, and fails with the first that failed. */
async function rounds(run: (round: number) => Promise<void>, sideBySide: boolean): Promise<void> {
  if (!sideBySide) {
    for (const round of ROUNDS) await run(round);
    return;
  }
  const ended = await Promise.allSettled(ROUNDS.map((round) => run(round)));
  const failed = ended.find((each) => each.status === 'rejected');
  if (failed) throw failed.reason;
}
