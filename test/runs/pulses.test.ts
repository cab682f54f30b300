import { expect, test } from 'vitest';
import BatchCase from '../support/BatchCase';

/** When the sidecar sent pulses and ends of runs, ms. */
interface Sent {
  readonly pulses: number[];
  readonly ends: number[];
}

async function open(): Promise<{ batchCase: BatchCase; sent: Sent }> {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  await batchCase.timer.advance(1_000);
  const sent: Sent = { pulses: [], ends: [] };
  batchCase.network.hold(({ kind, from }) => {
    if (from !== 's0') return false;
    if (kind === 'pulse') sent.pulses.push(batchCase.timer.now());
    if (kind === 'runsEnded') sent.ends.push(batchCase.timer.now());
    return false;
  });
  return { batchCase, sent };
}

function longestGap(times: readonly number[]): number {
  return Math.max(...times.slice(1).map((time, before) => time - times[before]!));
}

// A fifth of a busy entry's processor time went into pulses: each one woke it separately, though ends of runs
// arrived on the same links several times a second.
test('pulses are piggybacked on ends of runs while there are any', async () => {
  const { batchCase, sent } = await open();
  for (let batch = 0; batch < 40; batch += 1) {
    batchCase.submit(`a${batch}`, { ms: 20 });
    await batchCase.timer.advance(90);
  }
  const ends = new Set(sent.ends);
  const separate = sent.pulses.filter((at) => !ends.has(at));
  expect([separate.length <= 2, longestGap(sent.pulses) <= 350, ends.size]).toEqual([
    true,
    true,
    40,
  ]);
});

test('pulses keep their interval when nothing else is sent, and after a piggybacked one', async () => {
  const { batchCase, sent } = await open();
  batchCase.submit('a', { ms: 20 });
  await batchCase.timer.advance(5_000);
  const count = sent.pulses.length;
  expect([longestGap(sent.pulses) <= 350, count >= 14, count <= 17]).toEqual([true, true, true]);
});
