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

/** The measurements, in order. Rounds run in parallel unless they would slow each other down. */
const measurements = [
  { run: measureRecords, parallel: false },
  { run: measureSidecarLinks, parallel: true },
  { run: measureProcesses, parallel: true },
  { run: measureSidecarTasks, parallel: true },
  { run: measureEntryTasks, parallel: true },
  { run: measureEntryLimit, parallel: false },
];

const cli = cac('measureCapacity');
cli
  .command('', 'Measure the cost of each unit of size for each role')
  .option('--json', 'Print the series as JSON', { default: false })
  .option('--only <name>', 'Run the measurements whose name contains this')
  .action(measure);
cli
  .command('stand-ins', 'Open links to an entry in place of sidecars')
  .option('--entry <address>', 'Peer address of the entry')
  .option('--name <name>', 'Prefix of the names of the sidecars')
  .option('--links <number>', 'Number of links')
  .option('--slots <number>', 'Slots of each sidecar')
  .option('--task-ms <ms>', 'Run time of a task')
  .action(runStandIns);
cli.help();
cli.parse();

async function measure({ json, only = '' }: Flags): Promise<void> {
  const selected = measurements.filter(({ run }) => run.name.includes(only));
  for (const { run, parallel } of selected) {
    await runRounds(run, parallel);
    const series = run.series();
    if (!json) series.forEach((each) => process.stdout.write(`${printSeries(each)}\n`));
  }
  const all = selected.flatMap(({ run }) => run.series());
  if (json) process.stdout.write(`${JSON.stringify(all, undefined, 2)}\n`);
  process.exit(0);
}

/** Runs all rounds to completion, so that each stops its processes, and then throws the first error. */
async function runRounds(run: (round: number) => Promise<void>, parallel: boolean): Promise<void> {
  if (!parallel) {
    for (const round of ROUNDS) await run(round);
    return;
  }
  const results = await Promise.allSettled(ROUNDS.map((round) => run(round)));
  const failed = results.find((each) => each.status === 'rejected');
  if (failed) throw failed.reason;
}
