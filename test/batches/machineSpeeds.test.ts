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
  readonly ratio?: number;
  readonly slowness?: number;
  readonly freeMilli?: number;
  readonly labels?: string[];
  readonly sent?: PeerMessage[];
}

/** A machine of 16 cores as an entry sees it. */
function machine({ name, ratio = 1, freeMilli = 16_000, sent = [], ...more }: Machine) {
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
    speed: ratio * 1_000,
  });
  peer.handleRoom(room);
  return peer;
}

/** Two fast machines and a slow one, each with this much free capacity. */
function machines(freeMilli = 16_000): SidecarPeer[] {
  return [0.7, 0.7, 1.7].map((ratio, at) =>
    machine({ name: ['fast', 'quick', 'slow'][at]!, ratio, freeMilli }),
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

/** The machines of a batch's tasks that are dispatched in one pass. */
function placementsOf(one: Batch, peers: readonly SidecarPeer[], remoteFactor?: number): string {
  const machineRatios = FleetDurationRatios.create().relativeToMean(peers);
  const ejected = findOutliers(peers, machineRatios);
  let last: SidecarPeer | undefined;
  let tasksInMessage = 0;
  const names = [...one.ready].map((task) => {
    const place = { peers, ejected, machineRatios, remoteFactor, zone: 'z', now: 0 };
    const sharesMessage = last !== undefined && canShareMessage(last, task, tasksInMessage);
    const peer = choosePeer({
      batch: one,
      task,
      ...place,
      peers: sharesMessage ? [last!] : peers,
    })!;
    tasksInMessage = sharesMessage ? tasksInMessage + 1 : 1;
    last = peer;
    const durationRatios = durationRatiosOf(task, peer, place);
    peer.dispatch(one, task, durationRatios);
    one.markStarting(task, task.step.estimateMs * durationRatios.machine * durationRatios.distance);
    return peer.instance;
  });
  return names.join(' ');
}

test('under light load short and long tasks go to the fast machines', () => {
  const placements = [73, 1_086].map((estimateMs) =>
    placementsOf(batch({ estimateMs }), machines()),
  );
  expect(placements).toEqual(['fast', 'fast']);
});

test('when fast capacity is short, long tasks get it and short ones go to slow machines', () => {
  const placements = [73, 1_086].map((estimateMs) =>
    placementsOf(batch({ estimateMs }), machines(6_000)),
  );
  expect(placements).toEqual(['slow', 'fast']);
});

test('a slow machine is used when the fast ones are full', () => {
  const full = [0.7, 0.7].map((ratio, at) => machine({ name: `f${at}`, ratio, freeMilli: 0 }));
  const peers = [...full, machine({ name: 'slow', ratio: 1.7 })];
  expect(placementsOf(batch({ estimateMs: 1_086 }), peers)).toBe('slow');
});

test('once one task of a batch is late, the others use no fast capacity', () => {
  const [fast, slow] = [3_000, 16_000].map((freeMilli, at) =>
    machine({ name: at === 0 ? 'fast' : 'slow', ratio: at === 0 ? 0.7 : 1.7, freeMilli }),
  );
  const other = machine({ name: 'full', ratio: 0.7, freeMilli: 0 });
  const one = batch({ estimateMs: 1_086, count: 2 });
  one.expectedEndAt = one.targetAt + 1;
  expect(placementsOf(one, [fast!, other, slow!])).toBe('slow slow');
});

test('the tasks of a batch are still grouped on few machines', () => {
  expect(placementsOf(batch({ count: 8, estimateMs: 73 }), machines())).toBe(
    'fast fast fast fast quick quick quick quick',
  );
});

test('an inherently slow machine is not ejected unless it is degraded as well', () => {
  const peersWith = (slowness: number): SidecarPeer[] => [
    ...machines().slice(0, 2),
    machine({ name: 'slow', ratio: 1.7, slowness }),
  ];
  const ejectedOf = (peers: readonly SidecarPeer[]): string[] =>
    [...findOutliers(peers, FleetDurationRatios.create().relativeToMean(peers))].map(
      ({ instance }) => instance,
    );
  expect([ejectedOf(peersWith(4)), ejectedOf(peersWith(8))]).toEqual([[], ['slow']]);
});

test('a duration on a slow machine is normalised to one of average speed', () => {
  const estimator = BatchEstimator.create(standardPolicy);
  const peers = machines();
  const machineRatios = FleetDurationRatios.create().relativeToMean(peers);
  const one = batch();
  const slow = peers[2]!;
  const durationRatios = durationRatiosOf(one.tasks[0]!, slow, { machineRatios });
  const run = slow.dispatch(one, one.tasks[0]!, durationRatios);
  for (let times = 0; times < 200; times += 1) {
    estimator.learn(run, slow, run.dispatchedAt + 300 * durationRatios.machine);
  }
  expect(estimator.addEstimates(one.submission).steps[0]!.estimateMs).toBe(300);
});

// The distance factor is set by operators; the sidecar receives the duration expected there.
test('a short task goes to the emptier machine away from its data, a long one stays close to it', () => {
  const rack = 'r1';
  const place = (estimateMs: number): string =>
    placementsOf(
      batch({ estimateMs, preferredLabel: rack }),
      [
        machine({ name: 'near', freeMilli: 3_000, labels: [rack] }),
        machine({ name: 'far', labels: ['r2'] }),
      ],
      1.5,
    );
  expect([place(73), place(1_086)]).toEqual(['far', 'near']);
});

test('the estimate sent to a sidecar includes the distance, which then does not count as slowness', () => {
  const sent: PeerMessage[] = [];
  const far = machine({ name: 'far', labels: ['r2'], sent });
  placementsOf(batch({ preferredLabel: 'r1' }), [far], 3);
  far.flush(undefined);
  const [message] = sent;
  expect(message?.case === 'startRuns' && message.value.runs[0]?.estimateMs).toBe(900);
});
