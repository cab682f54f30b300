import { expect, test } from 'vitest';
import type RunId from '../../src/runs/RunId';
import BatchCase from '../support/BatchCase';

/** Five backend servers, of which the first takes twice as long; runs batches of one task until that is known. */
async function learnRatios(): Promise<BatchCase> {
  const backendOf = (run: RunId): number =>
    batchCase.backends.findIndex(({ starts }) => starts.at(-1) === run);
  const work = (run: RunId) => ({ ms: backendOf(run) === 0 ? 200 : 100, fails: false });
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 5, work });
  for (let round = 0; round < 14; round += 1) {
    for (let i = 0; i < 5; i += 1) batchCase.submit(`${round}.${i}`, { ms: 100 });
    await batchCase.timer.advance(250);
  }
  return batchCase;
}

/** The duration ratios that an entry applies, in tenths, by sidecar. */
function ratiosOf(batchCase: BatchCase, entry = 0): Record<string, number> {
  const ratios = [...batchCase.entries[entry]!.machineRatios];
  return Object.fromEntries(
    ratios.map(([{ instance }, ratio]) => [instance, Math.round(ratio * 10)]),
  );
}

test('an entry applies the duration ratios that sidecars report', async () => {
  expect(ratiosOf(await learnRatios())).toEqual({ s0: 16 });
});

test('an entry that has just started receives the duration ratios', async () => {
  const batchCase = await learnRatios();
  await batchCase.addEntry(1);
  batchCase.configure(1, 1);
  await batchCase.timer.advance(1_000);
  batchCase.submit('later', { entry: 1 });
  await batchCase.timer.advance(20);
  expect(ratiosOf(batchCase, 1)).toEqual({ s0: 16 });
});

test('the duration ratio is kept when its sidecar restarts', async () => {
  const batchCase = await learnRatios();
  batchCase.network.kill('s0');
  batchCase.restartSidecar(0);
  await batchCase.timer.advance(1_000);
  batchCase.submit('later');
  await batchCase.timer.advance(20);
  expect(ratiosOf(batchCase)).toEqual({ s0: 16 });
});
