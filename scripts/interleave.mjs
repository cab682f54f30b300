// Random interleavings of faults: `npm run interleave -- --seed N --runs N`. Prints the seed.
import { spawnSync } from 'node:child_process';
import process from 'node:process';
import { parseArgs } from 'node:util';

const { values } = parseArgs({
  options: { seed: { type: 'string' }, runs: { type: 'string', default: '1000' } },
});
const seed = values.seed ?? String(Math.floor(Math.random() * 2 ** 31));
process.stdout.write(`seed ${seed}, ${values.runs} runs\n`);
const env = { ...process.env, INTERLEAVE_SEED: seed, INTERLEAVE_RUNS: values.runs };
const args = ['vitest', 'run', 'test/faults/interleavings.test.ts'];
process.exitCode = spawnSync('npx', args, { stdio: 'inherit', env }).status ?? 1;
