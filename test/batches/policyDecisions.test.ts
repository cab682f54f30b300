import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Batch from '../../src/batches/Batch';
import type BatchStep from '../../src/batches/BatchStep';
import choosePeer from '../../src/batches/choosePeer';
import compareUrgencies from '../../src/batches/compareUrgencies';
import urgencyOf from '../../src/batches/urgencyOf';
import findOutliers from '../../src/batches/findOutliers';
import canShareMessage from '../../src/batches/canShareMessage';
import predictWait from '../../src/batches/predictWait';
import SidecarPeer from '../../src/batches/SidecarPeer';
import isWorthMoving from '../../src/batches/isWorthMoving';
import { AmountSchema, RoomSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import Resources from '../../src/room/Resources';
import ManualTimer from '../support/ManualTimer';

const timer = ManualTimer.create();

interface Sidecar {
  readonly name: string;
  readonly zone?: string;
  readonly freeMilli?: number;
  readonly slowness?: number;
  readonly failing?: boolean;
}

/** A sidecar with 64 cores as an entry sees it. */
function sidecar({ name, zone = 'z', freeMilli = 64_000, ...health }: Sidecar): SidecarPeer {
  const link = {
    peer: { instance: name, zone },
    closed: new AbortController().signal,
    lastReceivedAt: timer.now(),
    send: () => undefined,
  };
  const peer = SidecarPeer.of(link as unknown as Link, timer);
  peer.handleRoom(
    create(RoomSchema, {
      ...{ backend: `b-${name}`, service: 's', accepting: true },
      total: create(AmountSchema, { cpuMilli: 64_000 }),
      free: create(AmountSchema, { cpuMilli: freeMilli }),
      slowness: Math.round((health.slowness ?? 1) * 1_000),
      failing: health.failing ?? false,
    }),
  );
  return peer;
}

function batch(id: string, change: Partial<BatchStep> = {}, priority = 0, acceptedAt = 0): Batch {
  const queue = {
    ...{ name: 'q', host: 'h', prefix: '/', service: 's', maxAttempts: 2, timeoutMs: 0 },
    ...{ priority, stretch: 1.6, targetLatencyMs: 60 },
  };
  const step: BatchStep = {
    ...{ count: 1, estimateMs: 300, after: [], label: '', preferredLabel: '', mostTogether: 0 },
    needs: Resources.of({ cpuMilli: 6_000 }),
    ...change,
  };
  return Batch.accept({ id, queue, spec: '', steps: [step], waitMs: 5_000 }, acceptedAt);
}

function chosen(peers: readonly SidecarPeer[], change: Partial<BatchStep> = {}) {
  const one = batch('a', change);
  const ejected = findOutliers(peers);
  const [task] = one.ready;
  return choosePeer({ batch: one, task: task!, peers, ejected, zone: 'z', now: 0 })?.instance;
}

test('the backend server with the most free capacity gets the task', () => {
  const peers = [sidecar({ name: 'a', freeMilli: 20_000 }), sidecar({ name: 'b' })];
  expect(chosen(peers)).toBe('b');
});

test("the entry's own zone has the weight of about one task", () => {
  const near = sidecar({ name: 'near', freeMilli: 58_000 });
  const far = sidecar({ name: 'far', zone: 'y' });
  const muchEmptier = sidecar({ name: 'far', zone: 'y', freeMilli: 64_000 });
  const full = sidecar({ name: 'near', freeMilli: 30_000 });
  expect([chosen([near, far]), chosen([full, muchEmptier])]).toEqual(['near', 'far']);
});

test('a task shares a message with up to three others of its batch while capacity allows', () => {
  const peer = sidecar({ name: 'a', freeMilli: 12_000 });
  const full = sidecar({ name: 'b', freeMilli: 5_000 });
  const [task] = batch('a', { count: 10 }).ready;
  const allowed = [1, 2, 3, 4].map((tasksInMessage) =>
    canShareMessage(peer, task!, tasksInMessage),
  );
  expect([allowed, canShareMessage(full, task!, 1)]).toEqual([[true, true, true, false], false]);
});

test('a backend server without free capacity is not chosen', () => {
  expect(chosen([sidecar({ name: 'a', freeMilli: 5_000 })])).toBeUndefined();
});

test('slow and failing backend servers are ejected, at most a third of all', () => {
  const peers = [
    sidecar({ name: 'a' }),
    sidecar({ name: 'b', slowness: 1.4 }),
    sidecar({ name: 'c' }),
    sidecar({ name: 'd' }),
    sidecar({ name: 'slow', slowness: 8 }),
    sidecar({ name: 'slower', slowness: 16 }),
    sidecar({ name: 'failing', failing: true }),
  ];
  const names = [...findOutliers(peers)].map(({ instance }) => instance);
  expect(names).toEqual(['failing', 'slower']);
});

test('estimates that are equally wrong everywhere eject no backend server', () => {
  const peers = ['a', 'b', 'c', 'd'].map((name) => sidecar({ name, slowness: 5 }));
  expect(findOutliers(peers).size).toBe(0);
});

test('an ejected backend server gets one task at a time', () => {
  const bad = sidecar({ name: 'bad', slowness: 16 });
  const full = ['a', 'b', 'c'].map((name) => sidecar({ name, freeMilli: 0 }));
  const first = chosen([bad, ...full]);
  const one = batch('x');
  bad.dispatch(one, one.ready[0]!);
  expect([first, chosen([bad, ...full])]).toEqual(['bad', undefined]);
});

test('a started batch with many tasks left does not go before a more urgent one', () => {
  const urgent = batch('urgent', {}, 0);
  const wide = batch('wide', { count: 20 }, 1);
  wide.markStarting(wide.ready[0]!);
  expect(compareUrgencies(urgencyOf(urgent, 1), urgencyOf(wide, 1))).toBeLessThan(0);
});

test('a started batch with few tasks left goes before a more urgent one', () => {
  const urgent = batch('urgent', {}, 0);
  const narrow = batch('narrow', { count: 3 }, 1);
  narrow.markStarting(narrow.ready[0]!);
  expect(compareUrgencies(urgencyOf(narrow, 1), urgencyOf(urgent, 1))).toBeLessThan(0);
});

test('batches are ordered by whether they are in time, then priority, then slack', () => {
  const now = 1_000;
  const batches = [
    batch('urgent late', {}, 0, 0),
    batch('urgent in time', {}, 0, 1_000),
    batch('urgent in time, older', {}, 0, 950),
    batch('other', {}, 1, 1_000),
  ];
  const order = batches
    .sort((a, b) => compareUrgencies(urgencyOf(a, now), urgencyOf(b, now)))
    .map(({ id }) => id);
  expect(order).toEqual(['urgent in time, older', 'urgent in time', 'other', 'urgent late']);
});

test('a started batch with few tasks left is finished even if it is late', () => {
  const narrow = batch('narrow', { count: 3 }, 1);
  narrow.markStarting(narrow.ready[0]!);
  const waiting = batch('waiting', {}, 0, 600);
  const [first, second] = [urgencyOf(narrow, 600), urgencyOf(waiting, 600)];
  expect(compareUrgencies(first, second)).toBeLessThan(0);
});

test('a started batch is not refused as expired', () => {
  const one = batch('a');
  one.markStarting(one.ready[0]!);
  expect(one.willExpireUnstarted(4_000)).toBe(false);
});

test('among late batches small ones go first, and those that will expire last', () => {
  const now = 1_000;
  const batches = [
    batch('expiring', {}, 0, -500),
    batch('wide', { count: 20 }, 0, 100),
    batch('narrow', {}, 0, 200),
  ];
  const order = batches
    .sort((a, b) => compareUrgencies(urgencyOf(a, now), urgencyOf(b, now)))
    .map(({ id }) => id);
  expect(order).toEqual(['narrow', 'wide', 'expiring']);
});

test('a started batch is finished before an equal one is started', () => {
  const started = batch('begun', { count: 2 }, 0, 1_000);
  const waiting = batch('waiting', {}, 0, 990);
  started.markStarting(started.ready[0]!);
  const [first, second] = [urgencyOf(started, 1_010), urgencyOf(waiting, 1_010)];
  expect(compareUrgencies(first, second)).toBeLessThan(0);
});

test('the predicted wait is the work of the backlog over the share of the backend servers', () => {
  const ahead = [batch('a', { count: 32 })];
  const peers = [sidecar({ name: 'a', freeMilli: 0 })];
  expect(predictWait(ahead, peers, 3)).toBe((32 * 6_000 * 300 * 3) / 64_000);
});

test('a batch will expire if three times its latency target cannot be met', () => {
  const one = batch('a');
  // The target is 1.6 * 300 + 60 = 540 ms, and 300 ms of work are left.
  expect([one.willExpire(1_319), one.willExpire(1_321)]).toEqual([false, true]);
});

test('the time that its caller has spent before counts towards its latency target', () => {
  const { submission } = batch('a');
  const one = Batch.accept({ ...submission, spentMs: 1_000 }, 0);
  expect([one.willExpire(319), one.willExpire(321)]).toEqual([false, true]);
});

test.each([
  ['makes hardly any progress', { slowness: 8, at: 300 }, true],
  ['is nearly done', { slowness: 1.4, at: 300 }, false],
  ['has just started', { slowness: 8, at: 100 }, false],
])('a run that %s is moved: %o', (_name, { slowness, at }, expected) => {
  const peer = sidecar({ name: 'a', slowness });
  const one = batch('a');
  const run = peer.dispatch(one, one.ready[0]!);
  expect(isWorthMoving(run, peer, at)).toBe(expected);
});

test('a run is moved only once', () => {
  const peer = sidecar({ name: 'a', slowness: 8 });
  const one = batch('a');
  const run = peer.dispatch(one, one.ready[0]!);
  run.task.moves = 1;
  expect(isWorthMoving(run, peer, 300)).toBe(false);
});

// Sidecars receive the urgency of a queue's backlog as a number that includes its priority: a
// priority of 2^32 ended each link to a sidecar whenever a batch of the queue was waiting ("invalid
// uint32").
test('the lowest priorities count the same, and none of them goes behind late batches', () => {
  const ranks = [998, 999, 1_000, 2 ** 32].map(
    (priority) => urgencyOf(batch('a', {}, priority), 0).rank,
  );
  expect(ranks).toEqual([1_998, 1_999, 1_999, 1_999]);
});
