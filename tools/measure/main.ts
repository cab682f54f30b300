import { writeFile } from 'node:fs/promises';
import { cac } from 'cac';
import describeResult from './describeResult';
import plotStretches from './plotStretches';
import resultJson from './resultJson';
import type RunResult from './RunResult';
import runScenario from './runScenario';
import scenarios from './scenarios';

interface Flags {
  readonly quick?: boolean;
  readonly scenario?: string;
  readonly policy?: string;
  readonly json?: boolean;
  readonly plot?: string;
  readonly seed: number;
  readonly seconds?: number;
  readonly slower: number;
  readonly entries: number;
  readonly backends: number;
}

const POLICIES = ['credits', 'leastOutstanding', 'powerOfTwo', 'roundRobin', 'random'];
const QUICK_SECONDS = 8;
const SECONDS = 30;

const cli = cac('measure');
cli
  .command('', 'Measure dispatch on real processes')
  .option('--quick', 'Every policy at 80% load, under two minutes')
  .option(
    '--scenario <names>',
    `Scenarios, separated by commas: ${Object.keys(scenarios).join(', ')}`,
  )
  .option('--policy <names>', `Policies, separated by commas: ${POLICIES.join(', ')}`)
  .option('--json', 'Print JSON')
  .option('--plot <file>', 'Write the distributions of stretch as SVG')
  .option('--seed <number>', 'Seed of the load', { default: 1 })
  .option('--seconds <number>', 'Length of each load')
  .option('--slower <factor>', 'Factor that slows down tasks and arrivals, for a busy machine', {
    default: 1,
  })
  .option('--entries <number>', 'Entries', { default: 3 })
  .option('--backends <number>', 'Backend servers', { default: 11 })
  .action(measure);
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit(0);

async function measure(flags: Flags): Promise<void> {
  const results: RunResult[] = [];
  const names =
    flags.scenario?.split(',') ?? (flags.quick ? ['steady-80'] : Object.keys(scenarios));
  for (const scenario of names) {
    for (const policy of policiesFor(scenario, flags)) {
      const result = await runScenario({
        ...{ scenario, policy, seed: flags.seed, slower: flags.slower },
        size: {
          entries: flags.entries,
          backends: flags.backends,
          slots: 8,
          connections: 64,
          zones: 3,
        },
        lengthMs: (flags.seconds ?? (flags.quick ? QUICK_SECONDS : SECONDS)) * 1000 * flags.slower,
      });
      results.push(result);
      if (!flags.json) process.stdout.write(`${describeResult(result)}\n`);
    }
  }
  if (flags.json) process.stdout.write(`${JSON.stringify(results.map(resultJson), null, 2)}\n`);
  if (flags.plot) await writeFile(flags.plot, plotStretches(results));
}

/** By default, steady and mixed loads run with all policies and the other scenarios with credits only. */
function policiesFor(scenario: string, { policy }: Flags): string[] {
  if (policy) return policy.split(',');
  return /^(steady|mixed)/.test(scenario) ? POLICIES : ['credits'];
}
