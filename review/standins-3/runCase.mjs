// Runs one case: records what happens into record.txt, ends all processes, and exits with the result.
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const TIME_LIMIT_MS = 110_000;
const EXIT_CODES = { true: 1, false: 0 };

/**
 * `play` resolves to whether the rule was broken, or to the reason why the case could not run. It gets `note`, which
 * records an event and to whose events `note.on` listens, `now`, the time in ms, and `closeWith` for what to call at the end.
 */
export default async function runCase(folder, play) {
  const startedAt = performance.now();
  const now = () => Math.round(performance.now() - startedAt);
  const lines = [];
  const listeners = new Map();
  const closers = [];
  const note = (event) => {
    lines.push(`${now()} ${JSON.stringify(event)}`);
    listeners.get(event.event)?.forEach((listener) => listener(event));
  };
  note.on = (name, listener) => {
    listeners.set(name, [...(listeners.get(name) ?? []), listener]);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  const timeLimit = new Promise((resolve) => {
    setTimeout(() => resolve('the time limit has passed'), TIME_LIMIT_MS).unref();
  });
  let result;
  try {
    const context = { note, now, hasTrouble, closeWith: (close) => closers.push(close) };
    result = await Promise.race([play(context), timeLimit]);
  } catch (error) {
    result = String(error);
  }
  note({ event: 'result', isBroken: result });
  await Promise.all(closers.map((close) => close()));
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  const exitCode = EXIT_CODES[result] ?? 2;
  process.stdout.write(`result: ${result}, exit code ${exitCode}\n`);
  process.exit(exitCode);
}
