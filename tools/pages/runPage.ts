import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import commandsIn from './commandsIn';

/** Runs the commands of a page in one shell, showing each; resolves with the exit code of the first that fails, or 0. */
export default async function runPage(file: string): Promise<number> {
  const commands = commandsIn(await readFile(file, 'utf8'));
  const shell = spawn('bash', ['-ev', '-o', 'pipefail', '-c', `${AT_END}\n${commands}`], {
    stdio: 'inherit',
  });
  const limit = setTimeout(() => shell.kill('SIGTERM'), LIMIT_MS);
  return new Promise((resolve) => {
    shell.once('exit', (code) => {
      clearTimeout(limit);
      resolve(code ?? 1);
    });
  });
}

/** Ends what a page started, also when one of its commands fails. */
const AT_END = `trap 'code=$?; [ -z "$PIDS" ] || kill $PIDS 2> /dev/null || true; exit $code' EXIT TERM`;

const LIMIT_MS = 180_000;
