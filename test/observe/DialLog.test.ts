import { expect, test } from 'vitest';
import DialLog from '../../src/observe/DialLog';
import ManualTimer from '../support/ManualTimer';

/** The lines for dials that are 500 ms apart, each given by why it failed. */
async function linesOf(dials: readonly (string | undefined)[]): Promise<readonly string[]> {
  const timer = ManualTimer.create();
  const lines: string[] = [];
  const write = (message: string, { tries, forMs, reason = '' }: Record<string, unknown>) =>
    lines.push(`${message}: ${tries} in ${forMs} ms ${reason}`);
  const dialLog = DialLog.to(timer, { info: write, warn: write });
  for (const reason of dials) {
    dialLog.dialled('10.0.0.1:1', reason);
    await timer.advance(500);
  }
  return lines;
}

test('tells when an address is out of reach, why else, and when it is back', async () => {
  const dials = [undefined, ...Array(4).fill('refused'), ...Array(3).fill('silent'), undefined];
  expect(await linesOf(dials)).toMatchInlineSnapshot(`
    [
      "an address cannot be reached: 1 in 0 ms refused",
      "an address cannot be reached: 5 in 2000 ms silent",
      "an address is reached again: 7 in 3500 ms ",
    ]
  `);
});

test('reasons that change with each try make a line a second', async () => {
  expect(await linesOf(['a', 'b', 'c', 'd', 'e'])).toMatchInlineSnapshot(`
    [
      "an address cannot be reached: 1 in 0 ms a",
      "an address cannot be reached: 3 in 1000 ms c",
      "an address cannot be reached: 5 in 2000 ms e",
    ]
  `);
});
