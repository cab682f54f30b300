import { readFileSync } from 'node:fs';
import { cac } from 'cac';
import type Fault from './Fault';
import runSoak from './runSoak';
import type SendingWay from './SendingWay';
import sendingWays from './sendingWays';

interface Flags {
  readonly seed: number;
  readonly seconds: number;
  readonly entries: number;
  readonly sidecars: number;
  readonly callers: number;
  readonly ways: string;
  readonly oneIn: number;
  readonly faults?: string;
  readonly bundles?: string;
  readonly out?: string;
}

const cli = cac('soak');
cli
  .command('', 'Run real entries and sidecars under faults and check their guarantees')
  .option('--seed <number>', 'Seed of the faults and of the jobs', { default: 1 })
  .option('--seconds <number>', 'Duration of the faults', { default: 60 })
  .option('--entries <number>', 'Entries', { default: 3 })
  .option('--sidecars <number>', 'Sidecars, each with a backend server', { default: 6 })
  .option('--callers <number>', 'Concurrent callers', { default: 12 })
  .option('--ways <names>', 'Ways in which some jobs are sent, from sendingWays', {
    default: 'at-once,abandon,hedge,half-open,duplicate,cancelled',
  })
  .option('--one-in <number>', 'One in this many jobs is sent in such a way, on average', {
    default: 6,
  })
  .option('--faults <file>', 'A JSON list of faults to use instead of those drawn from the seed')
  .option('--bundles <folder>', 'Prebuilt bundles, for example of an older version')
  .option(
    '--out <folder>',
    'Where to write log lines, faults and findings if a guarantee was violated',
  )
  .action(run);
cli.help();
cli.parse();

async function run({ faults: file, ways: names, oneIn, ...flags }: Flags): Promise<void> {
  const ways = names.split(',').map(readWay);
  const faults =
    file === undefined ? undefined : (JSON.parse(readFileSync(file, 'utf8')) as Fault[]);
  const { findings, counts } = await runSoak({ ...flags, faults, unusual: { ways, oneIn } });
  const print = (line: string): boolean => process.stdout.write(`${line}\n`);
  print(
    `seed ${flags.seed}: ${flags.seconds} s, ${flags.entries} entries, ${flags.sidecars} sidecars, one in ${oneIn} jobs ${names}`,
  );
  Object.keys(counts)
    .sort()
    .forEach((what) => print(`  ${what}: ${counts[what]}`));
  findings.forEach(({ atMs, kind, what }) =>
    print(`  at ${atMs} ms: ${kind}: ${what.slice(0, 400)}`),
  );
  print(findings.length === 0 ? 'All guarantees held.' : 'A guarantee was violated.');
  process.exit(findings.length === 0 ? 0 : 1);
}

function readWay(name: string): SendingWay {
  if (name in sendingWays) return name as SendingWay;
  throw new Error(`unknown way to send a job: ${name}`);
}
