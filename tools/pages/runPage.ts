import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import extractCommands from './extractCommands';

/** Runs the commands of a page in one shell and echoes them; resolves with the exit code of the first that fails, or 0. */
export default async function runPage(file: string): Promise<number> {
  const commands = extractCommands(await readFile(file, 'utf8'));
  const shell = spawn('bash', ['-ev', '-o', 'pipefail', '-c', `${EXIT_TRAP}\n${commands}`], {
    stdio: 'inherit',
  });
  const timeout = setTimeout(() => shell.kill('SIGTERM'), TIMEOUT_MS);
  return new Promise((resolve) => {
    shell.once('exit', (code) => {
      clearTimeout(timeout);
      resolve(code ?? 1);
    });
  });
}

/** Stops the processes that a page started (their ids are in `PIDS`), also when one of its commands fails. */
const EXIT_TRAP = `trap 'code=$?; [ -z "$PIDS" ] || kill $PIDS 2> /dev/null || true; exit $code' EXIT TERM`;

const TIMEOUT_MS = 180_000;
