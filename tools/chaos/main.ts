import { cac } from 'cac';
import ChaosRun from './ChaosRun';
import checkJournal from './checkJournal';
import describeRun from './describeRun';

interface Flags {
  readonly seconds: number;
  readonly seed: number;
  readonly rolling: boolean;
  readonly entries: number;
  readonly backends: number;
  readonly slots: number;
  readonly callers: number;
  readonly skew: number;
  readonly kinds: string;
  readonly logs?: string;
}

const ZONES = 3;
const CONNECTIONS = 64;
const CLOCK_SKEW_MS = 5000;
const SEED_RANGE = 1_000_000;

const cli = cac('chaos');
cli
  .command('', 'Disrupt a whole system under load and check the guarantees to callers')
  .option('--seconds <number>', 'Duration of the disruptions', { default: 60 })
  .option('--seed <number>', 'Seed of the schedule', { default: Date.now() % SEED_RANGE })
  .option('--rolling', 'Replace all processes one by one instead, gracefully', {
    default: false,
  })
  .option('--entries <number>', 'Entries', { default: 4 })
  .option('--backends <number>', 'Sidecars, each with its backend server', { default: 8 })
  .option('--slots <number>', 'Slots of each backend server', { default: 8 })
  .option('--callers <number>', 'Number of concurrent callers', { default: 24 })
  .option('--skew <ms>', 'Clock skew that the entries tolerate', { default: CLOCK_SKEW_MS })
  .option('--kinds <names>', 'Kinds of disruptions, separated by commas', { default: '' })
  .option('--logs <folder>', 'Write the output of the processes to files in this folder')
  .action(run);
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const { seconds, seed, rolling, entries, backends, slots, callers, logs } = flags;
  const size = { entries, backends, slots, connections: CONNECTIONS, zones: ZONES };
  const kinds = flags.kinds.split(',').filter((kind) => kind !== '');
  process.stdout.write(`seed: ${seed}\n`);
  const chaos = ChaosRun.create({
    ...{ seconds, seed, rolling, callers, size, kinds, logs },
    skewMs: flags.skew,
  });
  await chaos.run();
  const { lines, kept } = describeRun(chaos, checkJournal(chaos.journal));
  lines.forEach((line) => process.stdout.write(`${line}\n`));
  process.stdout.write(kept ? 'All promises were kept.\n' : 'A promise was broken.\n');
  process.exit(kept ? 0 : 1);
}
