import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Batch from '../../src/batches/Batch';
import SidecarPeer from '../../src/batches/SidecarPeer';
import { RoomSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import toAmount from '../../src/room/toAmount';
import Resources from '../../src/room/Resources';
import BatchCase from '../support/BatchCase';
import ManualTimer from '../support/ManualTimer';

const capacity = toAmount(Resources.of({ cpuMilli: 16_000, memoryMb: 1_024 }));

function sidecar() {
  const timer = ManualTimer.create();
  const link = { closed: new AbortController().signal, lastReceivedAt: 0, send: () => undefined };
  const peer = SidecarPeer.of(link as unknown as Link, timer);
  const status = { service: 's', accepting: true, total: capacity, free: capacity };
  const offer = (newestOrder = 0) =>
    peer.handleRoom(create(RoomSchema, { ...status, inTurns: true, newestOrder }));
  const dispatch = (): void => {
    const queue = { name: 'q', host: 'h', prefix: '/', service: 's', maxAttempts: 2, timeoutMs: 0 };
    const step = { count: 1, estimateMs: 300, after: [], label: '', preferredLabel: '' };
    const needs = Resources.of({ cpuMilli: 4_000 });
    const batch = Batch.accept(
      {
        ...{ id: 'a', spec: '', waitMs: 5_000 },
        queue: { ...queue, priority: 0, stretch: 2, targetLatencyMs: 50 },
        steps: [{ ...step, mostTogether: 0, needs }],
      },
      0,
    );
    peer.dispatch(batch, batch.ready[0]!);
    peer.flush(undefined);
  };
  return { timer, peer, offer, dispatch };
}

test('an offer expires when it is too old to be used in time', async () => {
  const { timer, peer, offer } = sidecar();
  offer();
  await timer.advance(3);
  const young = peer.free.cpuMilli;
  await timer.advance(1);
  expect([young, peer.free.cpuMilli]).toEqual([16_000, 0]);
});

// Start requests that were queued on a busy link were followed by further ones for the same free
// capacity, which were refused.
test('an offer that does not account for the latest start request is ignored', () => {
  const { peer, offer, dispatch } = sidecar();
  offer();
  dispatch();
  offer(0);
  const before = peer.free.cpuMilli;
  offer(1);
  expect([before, peer.free.cpuMilli]).toEqual([0, 16_000]);
});

test('up to four tasks of a batch share a message', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 4 });
  batchCase.network.resetCounts();
  batchCase.submit('a', { tasks: 6 });
  await batchCase.timer.advance(20);
  expect([batchCase.network.messageCounts().startRuns, batchCase.running.length]).toEqual([2, 6]);
});

test('tasks that must be apart do not share a message', async () => {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 4 });
  batchCase.network.resetCounts();
  const step = { ...batchCase.stepOf(4, 100), mostTogether: 1 };
  batchCase.submit('a', { steps: [step] });
  await batchCase.timer.advance(20);
  expect([batchCase.network.messageCounts().startRuns, batchCase.running.length]).toEqual([4, 4]);
});

async function sidecarWithTwo(): Promise<BatchCase> {
  const batchCase = await BatchCase.open({ entries: 2, sidecars: 1 });
  batchCase.submit('full', { tasks: 3, ms: 500 });
  await batchCase.timer.advance(20);
  return batchCase;
}

// An entry could assume capacity for two of the smaller tasks where there was none, and 5.6% of its
// starts were refused when demand exceeded all capacity (`npm run replay`, uneven without links,
// load 2.1, seed 8).
test('an entry knows exactly the last free capacity of a backend server', async () => {
  const batchCase = await sidecarWithTwo();
  const step = batchCase.stepOf(1, 500);
  const needs = Resources.of({ cpuMilli: 2_500, memoryMb: 64 });
  batchCase.network.resetCounts();
  batchCase.submit('small', { steps: [{ ...step, needs }] });
  await batchCase.timer.advance(20);
  expect(batchCase.network.messageCounts().room).toBe(1);
});
