import { write, writeSync } from 'node:fs';
import { afterEach, expect, test, vi } from 'vitest';
import LineBuffer from '../../src/observe/LineBuffer';
import ManualTimer from '../support/ManualTimer';

vi.mock('node:fs', () => ({ write: vi.fn(), writeSync: vi.fn() }));

afterEach(() => vi.clearAllMocks());

const FLUSH_DELAY_MS = 250;

/** A buffer with a slow reader: the write of its first line is pending, and its second line is buffered. */
async function openWithSlowReader() {
  const timer = ManualTimer.create();
  const buffer = LineBuffer.to(1, timer);
  const written: string[] = [];
  const pendingWrites: (() => void)[] = [];
  vi.mocked(write).mockImplementation(((_fd: number, text: string, done: () => void) => {
    pendingWrites.push(() => {
      written.push(text);
      done();
    });
  }) as unknown as typeof write);
  buffer.write('first');
  await timer.advance(FLUSH_DELAY_MS);
  buffer.write('last');
  return { timer, buffer, written, completeWrite: () => pendingWrites.shift()?.() };
}

// When a process ended during a pending write to a slow reader, its last lines were written into the
// middle of the pending ones (2 of 302 lines were not valid JSON, the last one among them).
test('a drain writes the last lines after the pending ones and accepts no more', async () => {
  const { timer, buffer, written, completeWrite } = await openWithSlowReader();
  let isDrained = false;
  buffer.drain(200).then(() => {
    isDrained = true;
  });
  buffer.write('later');
  await timer.advance(50);
  completeWrite();
  await timer.advance(50);
  expect([written, isDrained]).toEqual([['first\n'], false]);
  completeWrite();
  await timer.advance(50);
  expect([written, isDrained]).toEqual([['first\n', 'last\n'], true]);
});

test('a drain ends at its limit when the reader is blocked, and nothing is written during a pending write', async () => {
  const { timer, buffer } = await openWithSlowReader();
  let isDrained = false;
  buffer.drain(200).then(() => {
    isDrained = true;
  });
  await timer.advance(300);
  buffer.flushSync();
  expect(isDrained).toBe(true);
  expect(writeSync).not.toHaveBeenCalled();
});
