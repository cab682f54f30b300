import { readFile, writeFile } from 'node:fs/promises';
import { cac } from 'cac';
import describeEntries from './describeEntries';
import describeReplay from './describeReplay';
import drawRecording from './drawRecording';
import draws from './draws';
import formatRecording from './formatRecording';
import plotOutcomes from './plotOutcomes';
import policies from './policies';
import readRecording from './readRecording';
import Replay from './Replay';
import replayIdeal from './replayIdeal';

interface Flags {
  readonly policy: string;
  readonly plot?: string;
  readonly draw?: string;
  readonly seed?: number;
}

const NAMES = Object.keys(policies).join(', ');

const cli = cac('replay');
cli
  .command('[file]', 'Replay a recorded load under one or more policies')
  .option('--policy <names>', `Policies, separated by commas: ${NAMES}`, { default: 'standard' })
  .option('--plot <file>', 'Write a bar chart of the worth earned by each policy, as SVG')
  .option('--draw <name>', `Print a synthetic recording instead: ${Object.keys(draws).join(', ')}`)
  .option('--seed <number>', 'Seed of the synthetic recording')
  .action((file: string | undefined, flags: Flags) => run(file, flags));
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();

async function run(file: string | undefined, flags: Flags): Promise<void> {
  if (flags.draw !== undefined) {
    const draw = draws[flags.draw];
    if (draw)
      process.stdout.write(
        formatRecording(drawRecording({ ...draw, seed: flags.seed ?? draw.seed })),
      );
    else fail(`--draw: unknown recording "${flags.draw}"`);
    return;
  }
  if (file === undefined) fail('the file of a recording is required');
  else await replay(file, flags);
}

async function replay(file: string, { policy, plot }: Flags): Promise<void> {
  const recording = readRecording(await readFile(file, 'utf8'));
  if (recording.isErr()) {
    fail(`${file}: ${recording.error}`);
    return;
  }
  const plotted = [];
  for (const name of policy.split(',')) {
    const chosen = policies[name];
    if (!chosen) {
      fail(`--policy: unknown policy "${name}"; known are ${NAMES}`);
      return;
    }
    const result = await Replay.run(recording.value, chosen);
    plotted.push({ name, outcomes: result.outcomes });
    const share = result.wastedCoreSeconds / Math.max(1, result.servedCoreSeconds);
    const wasted = `wasted ${result.wastedCoreSeconds.toFixed(1)} core-seconds, ${(share * 100).toFixed(2)}% of those served`;
    const messages = `${result.messagesPerTask.toFixed(2)} messages per task`;
    const entries = describeEntries(result.byEntry);
    process.stdout.write(
      `${describeReplay(name, result.outcomes)}${entries}${wasted}; ${messages}\n\n`,
    );
  }
  const ideal = replayIdeal(recording.value);
  process.stdout.write(describeReplay('ideal', ideal));
  if (plot) await writeFile(plot, plotOutcomes([...plotted, { name: 'ideal', outcomes: ideal }]));
}

function fail(problem: string): void {
  process.stderr.write(`${problem}\n`);
  process.exitCode = 1;
}
