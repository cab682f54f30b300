import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { HeartbeatSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import KeepAlive from '../../src/link/KeepAlive';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import ManualTimer from '../support/ManualTimer';
import MemoryNetwork from '../support/MemoryNetwork';
import NetworkCase from '../support/NetworkCase';

const LIMITS = { intervalMs: 1000, suspectMs: 3000, closeMs: 10_000 };

async function linked() {
  const timer = ManualTimer.create();
  const network = MemoryNetwork.create(timer);
  const ends = { near: network.endpoint('near'), far: network.endpoint('far') };
  const pair = await NetworkCase.start(() => ({ ...ends, close: () => undefined }));
  const near = await pair.dial();
  const far = pair.servedLinks[0]!;
  const told: string[] = [];
  const keep = (link: Link) =>
    KeepAlive.start(link, timer, LIMITS, {
      heartbeat,
      onSuspicionChange: (suspected) => told.push(`${timer.now()} ${suspected}`),
    });
  near.closed.addEventListener('abort', () => told.push(`${timer.now()} closed`));
  return { timer, network, near, far, told, keep };
}

function heartbeat(): PeerMessage {
  return { case: 'heartbeat', value: create(HeartbeatSchema) };
}

it('sends heartbeats into silence only', async () => {
  const { timer, network, near, keep } = await linked();
  keep(near);
  await timer.advance(500);
  near.send({ case: 'inForce', value: { $typeName: 'magnoliakeel.v1.InForce', version: 1n } });
  await timer.advance(3499);
  expect(network.messageCounts()).toMatchInlineSnapshot(`
    {
      "dial": 1,
      "dial.answer": 1,
      "heartbeat": 3,
      "inForce": 1,
    }
  `);
});

it('never suspects a peer that sends heartbeats', async () => {
  const { timer, near, far, told, keep } = await linked();
  [near, far].forEach(keep);
  await timer.advance(60_000);
  expect(told).toEqual([]);
});

it('suspects a silent peer and clears it when it speaks', async () => {
  const { timer, near, far, told, keep } = await linked();
  keep(near);
  await timer.advance(4500);
  far.send(heartbeat());
  await timer.advance(1000);
  expect(told).toMatchInlineSnapshot(`
    [
      "3000 true",
      "5000 false",
    ]
  `);
});

it('closes a link that stays silent', async () => {
  const { timer, near, told, keep } = await linked();
  keep(near);
  await timer.advance(30_000);
  expect(told).toMatchInlineSnapshot(`
    [
      "3000 true",
      "10000 closed",
    ]
  `);
});

it('does not blame the peer for its own pause', async () => {
  const { timer, near, told, keep } = await linked();
  keep(near);
  timer.jump(20_000);
  await timer.advance(1);
  expect([near.closed.aborted, told]).toEqual([false, []]);
});

it('sends nothing after the link closed', async () => {
  const { timer, network, near, keep } = await linked();
  keep(near);
  near.close();
  await timer.advance(30_000);
  expect(network.messageCounts()).toEqual({ dial: 1, 'dial.answer': 1 });
});

it('waits whole milliseconds, so that a rest below the clock can tell does not spin', async () => {
  const { timer, near, far, keep } = await linked();
  const delays: number[] = [];
  const after = timer.after.bind(timer);
  timer.after = (delayMs, handler) => {
    delays.push(delayMs);
    return after(delayMs, handler);
  };
  keep(near);
  await timer.advance(500.3);
  [near, far].forEach((link) => link.send(heartbeat()));
  await timer.advance(9000);
  expect(delays.filter((delayMs) => !Number.isInteger(delayMs))).toEqual([]);
});
