import { write, writeSync } from 'node:fs';
import { afterEach, expect, test, vi } from 'vitest';
import LineBuffer from '../../src/observe/LineBuffer';
import ManualTimer from '../support/ManualTimer';

vi.mock('node:fs', () => ({ write: vi.fn(), writeSync: vi.fn() }));

afterEach(() => vi.clearAllMocks());

const FLUSH_MS = 250;

/** A buffer whose first line is on its way to a reader that is behind, and whose second waits. */
async function behind() {
  const timer = ManualTimer.create();
  const buffer = LineBuffer.to(1, timer);
  const written: string[] = [];
  const taken: (() => void)[] = [];
  vi.mocked(write).mockImplementation(((_fd: number, text: string, done: () => void) => {
    taken.push(() => {
      written.push(text);
      done();
    });
  }) as unknown as typeof write);
  buffer.write('first');
  await timer.advance(FLUSH_MS);
  buffer.write('last');
  return { timer, buffer, written, read: () => taken.shift()?.() };
}

// A process ended while its reader was behind and lines were on their way: the last lines were written
// through the middle of those (2 of 302 lines were no JSON, the last among them).
test('the last lines wait for those that are on their way, and none comes after them', async () => {
  const { timer, buffer, written, read } = await behind();
  let isDrained = false;
  buffer.drain(200).then(() => {
    isDrained = true;
  });
  buffer.write('later');
  await timer.advance(50);
  read();
  await timer.advance(50);
  expect([written, isDrained]).toEqual([['first\n'], false]);
  read();
  await timer.advance(50);
  expect([written, isDrained]).toEqual([['first\n', 'last\n'], true]);
});

test('a reader that takes nothing is waited for no longer, and nothing is written through what it was sent', async () => {
  const { timer, buffer } = await behind();
  let isDrained = false;
  buffer.drain(200).then(() => {
    isDrained = true;
  });
  await timer.advance(300);
  buffer.end();
  expect(isDrained).toBe(true);
  expect(writeSync).not.toHaveBeenCalled();
});
