import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { AmountSchema, DemandSchema, type Room } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Resources from '../../src/room/Resources';
import type EntryLink from '../../src/runs/EntryLink';
import CapacityReports from '../../src/runs/CapacityReports';
import CapacityOffers from '../../src/runs/CapacityOffers';
import type RunId from '../../src/runs/RunId';
import BatchCase from '../support/BatchCase';
import RunCase from '../support/RunCase';

async function countReports(batchCase: BatchCase, work: () => void): Promise<number> {
  batchCase.network.resetCounts();
  work();
  await batchCase.timer.advance(90);
  return batchCase.network.messageCounts().room ?? 0;
}

test('while capacity is plentiful an entry gets no reports of what its own runs occupy', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 1 });
  expect(await countReports(batchCase, () => batchCase.submit('a', { ms: 500 }))).toBe(0);
});

test('an entry gets a report of capacity that the runs of another occupy', async () => {
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 1 });
  expect(await countReports(batchCase, () => batchCase.submit('a', { ms: 500 }))).toBe(1);
});

test('scarce capacity is offered to the entry whose batch must start first', async () => {
  const work = (run: RunId) => ({
    ms: run.batch === 'full' ? 100 + 100 * run.index : 500,
    fails: false,
  });
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 1, work });
  batchCase.submit('full', { tasks: 4, ms: 200 });
  await batchCase.timer.advance(20);
  batchCase.submit('patient', { entry: 0, ms: 900 });
  await batchCase.timer.advance(20);
  batchCase.submit('pressing', { entry: 1, ms: 100 });
  await batchCase.timer.advance(80);
  expect(batchCase.running).toEqual(['full.0.1', 'full.0.2', 'full.0.3', 'pressing.0.0']);
});

test('batches that wait at two entries fill all the capacity that becomes free', async () => {
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 1 });
  batchCase.submit('full', { tasks: 4, ms: 100 });
  await batchCase.timer.advance(20);
  batchCase.submit('a', { entry: 0, tasks: 3, ms: 300 });
  batchCase.submit('b', { entry: 1, tasks: 3, ms: 300 });
  await batchCase.timer.advance(110);
  expect(batchCase.running.length).toBe(4);
});

test('an entry gets a report of memory that the runs of another occupy, though there are cores enough', async () => {
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 1 });
  const needs = Resources.of({ cpuMilli: 100, memoryMb: 4_000 });
  const wide = { ...batchCase.stepOf(1, 500), needs };
  expect(await countReports(batchCase, () => batchCase.submit('a', { steps: [wide] }))).toBe(1);
});

/** An entry link that records how many cores are reported to it as free. */
function recordingLink() {
  const reported: (number | undefined)[] = [];
  const send = ({ value }: { value: Room }) => reported.push(value.free?.cpuMilli);
  return {
    reported,
    entryLink: {
      newestOrder: 0,
      link: { send },
      flushEnds: () => undefined,
    } as unknown as EntryLink,
  };
}

// Each offer that expired unused cost a second message, which withdrew it.
test('an expired offer goes to the next entry without being withdrawn', async () => {
  const { runCase } = await RunCase.open();
  const [first, second] = [recordingLink(), recordingLink()];
  const offers = CapacityOffers.create(runCase.timer);
  const entryLinks = [first.entryLink, second.entryLink];
  const log = { info: () => undefined, warn: () => undefined };
  const reports = CapacityReports.create(
    runCase.timer,
    runCase.host,
    offers,
    () => entryLinks,
    log,
  );
  const setDemand = (entryLink: EntryLink, slackMs: number): void => {
    const needs = create(AmountSchema, { cpuMilli: 4_000 });
    offers.setDemand(entryLink, create(DemandSchema, { waiting: true, rank: 1, slackMs, needs }));
  };
  setDemand(first.entryLink, 10);
  setDemand(second.entryLink, 20);
  reports.scheduleUpdate();
  await runCase.timer.advance(12);
  expect([first.reported, second.reported]).toEqual([[16_000], [0, 16_000]]);
});
