import { cac } from 'cac';
import describeSize from './describeSize';
import measureSize from './measureSize';
import type SizeResult from './SizeResult';

const cli = cac('measureConfig');

cli
  .command('', 'Measure the time until changes of the manifest are in effect at every process')
  .option('--sizes <numbers>', 'Numbers of processes, separated by commas', {
    default: '10,40,100',
  })
  .option('--json', 'Print the results as JSON')
  .action(async ({ sizes, json }: { sizes: string | number; json?: boolean }) => {
    const results: SizeResult[] = [];
    for (const size of String(sizes).split(',').map(Number)) {
      const result = await measureSize(size);
      results.push(result);
      if (!json) describeSize(result).forEach((line) => process.stdout.write(`${line}\n`));
    }
    if (json) process.stdout.write(`${JSON.stringify(results)}\n`);
    const isBad = results.some(({ reversions, phases }) =>
      [reversions.length, ...phases.map(({ missing }) => missing)].some((count) => count > 0),
    );
    process.exit(isBad ? 1 : 0);
  });

cli.help();
cli.parse();
