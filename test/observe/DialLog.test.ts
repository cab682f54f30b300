import { expect, test } from 'vitest';
import DialLog from '../../src/observe/DialLog';
import ManualTimer from '../support/ManualTimer';

/** The log lines for dials at intervals of 500 ms, each given by the reason of its failure. */
async function linesOf(dials: readonly (string | undefined)[]): Promise<readonly string[]> {
  const timer = ManualTimer.create();
  const lines: string[] = [];
  const write = (message: string, { tries, forMs, reason = '' }: Record<string, unknown>) =>
    lines.push(`${message}: ${tries} in ${forMs} ms ${reason}`);
  const dialLog = DialLog.to(timer, { info: write, warn: write });
  for (const reason of dials) {
    dialLog.logDial('10.0.0.1:1', reason);
    await timer.advance(500);
  }
  return lines;
}

test('logs when an address becomes unreachable, when the reason changes, and when it is reached again', async () => {
  const dials = [undefined, ...Array(4).fill('refused'), ...Array(3).fill('silent'), undefined];
  expect(await linesOf(dials)).toMatchInlineSnapshot(`
    [
      "an address cannot be reached: 1 in 0 ms refused",
      "an address cannot be reached: 5 in 2000 ms silent",
      "an address is reached again: 7 in 3500 ms ",
    ]
  `);
});

test('logs at most one line a second when the reason changes with each try', async () => {
  expect(await linesOf(['a', 'b', 'c', 'd', 'e'])).toMatchInlineSnapshot(`
    [
      "an address cannot be reached: 1 in 0 ms a",
      "an address cannot be reached: 3 in 1000 ms c",
      "an address cannot be reached: 5 in 2000 ms e",
    ]
  `);
});
