import { create } from '@bufbuild/protobuf';
import { expect, it, vi } from 'vitest';
import { HeartbeatSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import KeepAlive from '../../src/link/KeepAlive';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import ManualTimer from '../support/ManualTimer';
import MemoryNetwork from '../support/MemoryNetwork';
import NetworkCase from '../support/NetworkCase';

const LIMITS = { intervalMs: 1000, suspectMs: 3000, closeMs: 10_000 };

async function openLinks() {
  const timer = ManualTimer.create();
  const network = MemoryNetwork.create(timer);
  const endpoints = { near: network.endpoint('near'), far: network.endpoint('far') };
  const networkCase = await NetworkCase.start(() => ({ ...endpoints, close: () => undefined }));
  const near = await networkCase.dial();
  const far = networkCase.servedLinks[0]!;
  const events: string[] = [];
  const startKeepAlive = (link: Link) =>
    KeepAlive.start(link, timer, LIMITS, {
      heartbeat,
      onSuspicionChange: (suspected) => events.push(`${timer.now()} ${suspected}`),
    });
  near.closed.addEventListener('abort', () => events.push(`${timer.now()} closed`));
  return { timer, network, near, far, events, startKeepAlive };
}

function heartbeat(): PeerMessage {
  return { case: 'heartbeat', value: create(HeartbeatSchema) };
}

it('sends heartbeats only on an idle link', async () => {
  const { timer, network, near, startKeepAlive } = await openLinks();
  startKeepAlive(near);
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
  const { timer, near, far, events, startKeepAlive } = await openLinks();
  [near, far].forEach(startKeepAlive);
  await timer.advance(60_000);
  expect(events).toEqual([]);
});

it('suspects an unresponsive peer until it sends a message', async () => {
  const { timer, near, far, events, startKeepAlive } = await openLinks();
  startKeepAlive(near);
  await timer.advance(4500);
  far.send(heartbeat());
  await timer.advance(1000);
  expect(events).toMatchInlineSnapshot(`
    [
      "3000 true",
      "5000 false",
    ]
  `);
});

it('closes a link on which nothing arrives', async () => {
  const { timer, near, events, startKeepAlive } = await openLinks();
  startKeepAlive(near);
  await timer.advance(30_000);
  expect(events).toMatchInlineSnapshot(`
    [
      "3000 true",
      "10000 closed",
    ]
  `);
});

// The connection of a silent peer was kept: the next link was opened over it, and waited in vain for its hello.
it('closes the connection together with the link', async () => {
  const { timer, near, startKeepAlive } = await openLinks();
  startKeepAlive(near);
  const close = vi.spyOn(near, 'close');
  await timer.advance(30_000);
  expect(close.mock.calls).toEqual([[true]]);
});

it('does not suspect the peer after a pause of its own process', async () => {
  const { timer, near, events, startKeepAlive } = await openLinks();
  startKeepAlive(near);
  timer.jump(20_000);
  await timer.advance(1);
  expect([near.closed.aborted, events]).toEqual([false, []]);
});

it('sends nothing after the link has closed', async () => {
  const { timer, network, near, startKeepAlive } = await openLinks();
  startKeepAlive(near);
  near.close();
  await timer.advance(30_000);
  expect(network.messageCounts()).toEqual({ dial: 1, 'dial.answer': 1 });
});

it('rounds delays up to whole milliseconds, so that a remainder below the clock resolution causes no busy loop', async () => {
  const { timer, near, far, startKeepAlive } = await openLinks();
  const delays: number[] = [];
  const after = timer.after.bind(timer);
  timer.after = (delayMs, handler) => {
    delays.push(delayMs);
    return after(delayMs, handler);
  };
  startKeepAlive(near);
  await timer.advance(500.3);
  [near, far].forEach((link) => link.send(heartbeat()));
  await timer.advance(9000);
  expect(delays.filter((delayMs) => !Number.isInteger(delayMs))).toEqual([]);
});
