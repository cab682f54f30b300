import { readdir } from 'node:fs/promises';
import runPage from './runPage';

const FOLDER = 'docs/operators';

// Runs all commands of the operators' pages, or only of the pages given as arguments.
const named = process.argv.slice(2);
const all = (await readdir(FOLDER)).filter((name) => name.endsWith('.md')).sort();
const failed: string[] = [];
for (const page of named.length > 0 ? named : all) {
  process.stdout.write(`\n== ${page}\n`);
  const code = await runPage(`${FOLDER}/${page}`);
  if (code !== 0) failed.push(`${page} (code ${code})`);
}
process.stdout.write(
  failed.length === 0 ? '\nAll pages ran.\n' : `\nFailed: ${failed.join(', ')}\n`,
);
process.exit(failed.length === 0 ? 0 : 1);
