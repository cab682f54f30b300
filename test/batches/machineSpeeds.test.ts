import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Batch from '../../src/batches/Batch';
import type BatchStep from '../../src/batches/BatchStep';
import choosePeer from '../../src/batches/choosePeer';
import BatchEstimator from '../../src/batches/BatchEstimator';
import durationRatiosOf from '../../src/batches/durationRatiosOf';
import findOutliers from '../../src/batches/findOutliers';
import canShareMessage from '../../src/batches/canShareMessage';
import SidecarPeer from '../../src/batches/SidecarPeer';
import standardPolicy from '../../src/batches/standardPolicy';
import FleetDurationRatios from '../../src/placement/FleetDurationRatios';
import { AmountSchema, RoomSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import Resources from '../../src/room/Resources';
import ManualTimer from '../support/ManualTimer';

const timer = ManualTimer.create();

interface Machine {
  readonly name: string;
  readonly times?: number;
  readonly slowness?: number;
  readonly freeMilli?: number;
  readonly labels?: string[];
  readonly sent?: PeerMessage[];
}

/** A machine of 16 cores as an entry sees it. */
function machine({ name, times = 1, freeMilli = 16_000, sent = [], ...more }: Machine) {
  const link = {
    peer: { instance: name, zone: 'z' },
    closed: new AbortController().signal,
    lastReceivedAt: timer.now(),
    send: (message: PeerMessage) => sent.push(message),
  };
  const peer = SidecarPeer.of(link as unknown as Link, timer);
  const room = create(RoomSchema, {
    ...{ backend: name, service: 's', accepting: true, labels: more.labels },
    total: create(AmountSchema, { cpuMilli: 16_000 }),
    free: create(AmountSchema, { cpuMilli: freeMilli }),
    slowness: (more.slowness ?? 1) * 1_000,
    speed: times * 1_000,
  });
  peer.handleRoom(room);
  return peer;
}

/** Two fast machines and a slow one, with so much room each. */
function machines(freeMilli = 16_000): SidecarPeer[] {
  return [0.7, 0.7, 1.7].map((times, at) =>
    machine({ name: ['fast', 'quick', 'slow'][at]!, times, freeMilli }),
  );
}

function batch(change: Partial<BatchStep> = {}): Batch {
  const queue = {
    ...{ name: 'q', host: 'h', prefix: '/', service: 's', maxAttempts: 2, timeoutMs: 0 },
    ...{ priority: 0, stretch: 1.6, targetLatencyMs: 60 },
  };
  const step: BatchStep = {
    ...{ count: 1, estimateMs: 300, after: [], label: '', preferredLabel: '', mostTogether: 0 },
    needs: Resources.of({ cpuMilli: 1_500 }),
    ...change,
  };
  return Batch.accept({ id: 'a', queue, spec: '', steps: [step], waitMs: 5_000 }, 0);
}

/** Where the tasks of a batch go that are ordered in one turn. */
function placed(one: Batch, peers: readonly SidecarPeer[], remoteFactor?: number): string {
  const machineRatios = FleetDurationRatios.create().relativeToMean(peers);
  const ejected = findOutliers(peers, machineRatios);
  let last: SidecarPeer | undefined;
  let ordered = 0;
  const names = [...one.ready].map((task) => {
    const place = { peers, ejected, machineRatios, remoteFactor, zone: 'z', now: 0 };
    const isJoining = last !== undefined && canShareMessage(last, task, ordered);
    const peer = choosePeer({ batch: one, task, ...place, peers: isJoining ? [last!] : peers })!;
    ordered = isJoining ? ordered + 1 : 1;
    last = peer;
    const there = durationRatiosOf(task, peer, place);
    peer.dispatch(one, task, there);
    one.markStarting(task, task.step.estimateMs * there.machine * there.distance);
    return peer.instance;
  });
  return names.join(' ');
}

test('under light load short and long tasks go to the fast machines', () => {
  const placements = [73, 1_086].map((estimateMs) => placed(batch({ estimateMs }), machines()));
  expect(placements).toEqual(['fast', 'fast']);
});

test('when fast room is short, long tasks get it and short ones go where it is slow', () => {
  const placements = [73, 1_086].map((estimateMs) =>
    placed(batch({ estimateMs }), machines(6_000)),
  );
  expect(placements).toEqual(['slow', 'fast']);
});

test('a slow machine is not left idle when the fast ones are full', () => {
  const full = [0.7, 0.7].map((times, at) => machine({ name: `f${at}`, times, freeMilli: 0 }));
  const peers = [...full, machine({ name: 'slow', times: 1.7 })];
  expect(placed(batch({ estimateMs: 1_086 }), peers)).toBe('slow');
});

test('once one task of a batch is late, the others take no fast room', () => {
  const [fast, slow] = [3_000, 16_000].map((freeMilli, at) =>
    machine({ name: at === 0 ? 'fast' : 'slow', times: at === 0 ? 0.7 : 1.7, freeMilli }),
  );
  const other = machine({ name: 'full', times: 0.7, freeMilli: 0 });
  const one = batch({ estimateMs: 1_086, count: 2 });
  one.expectedEndAt = one.targetAt + 1;
  expect(placed(one, [fast!, other, slow!])).toBe('slow slow');
});

test('tasks of a batch still go together to few machines', () => {
  expect(placed(batch({ count: 8, estimateMs: 73 }), machines())).toBe(
    'fast fast fast fast quick quick quick quick',
  );
});

test('a machine that is slow by its kind is not ill, and one that is ill beyond that is', () => {
  const peersWith = (slowness: number): SidecarPeer[] => [
    ...machines().slice(0, 2),
    machine({ name: 'slow', times: 1.7, slowness }),
  ];
  const ejectedOf = (peers: readonly SidecarPeer[]): string[] =>
    [...findOutliers(peers, FleetDurationRatios.create().relativeToMean(peers))].map(
      ({ instance }) => instance,
    );
  expect([ejectedOf(peersWith(4)), ejectedOf(peersWith(8))]).toEqual([[], ['slow']]);
});

test('what a task takes on a slow machine teaches what it takes on a middling one', () => {
  const expectations = BatchEstimator.create(standardPolicy);
  const peers = machines();
  const machineRatios = FleetDurationRatios.create().relativeToMean(peers);
  const one = batch();
  const slow = peers[2]!;
  const there = durationRatiosOf(one.tasks[0]!, slow, { machineRatios });
  const run = slow.dispatch(one, one.tasks[0]!, there);
  for (let times = 0; times < 200; times += 1) {
    expectations.learn(run, slow, run.dispatchedAt + 300 * there.machine);
  }
  expect(expectations.addEstimates(one.submission).steps[0]!.estimateMs).toBe(300);
});

// Distance: the factor is what operators say; the sidecar is told what the task takes there.
test('a short task takes the emptier machine away from its data, a long one waits for no crowd', () => {
  const rack = 'r1';
  const place = (estimateMs: number): string =>
    placed(
      batch({ estimateMs, preferredLabel: rack }),
      [
        machine({ name: 'near', freeMilli: 3_000, labels: [rack] }),
        machine({ name: 'far', labels: ['r2'] }),
      ],
      1.5,
    );
  expect([place(73), place(1_086)]).toEqual(['far', 'near']);
});

test('a sidecar is told the time away from the data, so that it does not take distance for illness', () => {
  const sent: PeerMessage[] = [];
  const far = machine({ name: 'far', labels: ['r2'], sent });
  placed(batch({ preferredLabel: 'r1' }), [far], 3);
  far.flush(undefined);
  const [message] = sent;
  expect(message?.case === 'startRuns' && message.value.runs[0]?.estimateMs).toBe(900);
});
