import { create } from '@bufbuild/protobuf';
import { beforeEach, expect, it } from 'vitest';
import {
  ClaimRequestSchema,
  ClaimResponseSchema,
  GrantSchema,
  WithdrawSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import ManualTimer from '../support/ManualTimer';
import MemoryNetwork from '../support/MemoryNetwork';
import NetworkCase from '../support/NetworkCase';

let timer: ManualTimer;
let network: MemoryNetwork;
let networkCase: NetworkCase;
let near: Link;
let far: Link;
let received: string[];

beforeEach(async () => {
  timer = ManualTimer.create();
  network = MemoryNetwork.create(timer);
  const endpoints = { near: network.endpoint('near'), far: network.endpoint('far') };
  networkCase = await NetworkCase.start(() => ({ ...endpoints, close: () => undefined }), {
    claim: async () => {
      received.push('claim');
      return create(ClaimResponseSchema);
    },
  });
  near = await networkCase.dial();
  far = networkCase.servedLinks[0]!;
  received = [];
  recordMessages('near', near);
  recordMessages('far', far);
});

async function recordMessages(name: string, link: Link): Promise<void> {
  for await (const { value } of link.messages()) {
    received.push(`${name}:${(value as { service: string }).service}`);
  }
  received.push(`${name} ended`);
}

function grant(link: Link, service: string): void {
  link.send({ case: 'grant', value: create(GrantSchema, { service }) });
}

function withdraw(link: Link, service: string): void {
  link.send({ case: 'withdraw', value: create(WithdrawSchema, { service }) });
}

function claim(): Promise<string> {
  const called = networkCase.near.claim(networkCase.listener.address, create(ClaimRequestSchema));
  return Promise.resolve(
    called.match(
      () => 'answered',
      ({ kind }) => kind,
    ),
  );
}

async function redial(): Promise<string> {
  const dialled = await networkCase.near.dial(
    networkCase.listener.address,
    NetworkCase.hello('near'),
  );
  return dialled.match(
    () => 'linked',
    ({ kind }) => kind,
  );
}

it('delivers copies of messages', async () => {
  const value = create(GrantSchema, { service: 'before' });
  near.send({ case: 'grant', value });
  value.service = 'after';
  await ManualTimer.settle();
  expect(received).toEqual(['far:before']);
});

it('breaks links and refuses calls during a partition', async () => {
  network.partition('near', 'far');
  const refused = [await claim(), await redial()];
  network.heal('near', 'far');
  expect([received, refused, await redial()]).toMatchInlineSnapshot(`
    [
      [
        "far ended",
        "near ended",
      ],
      [
        "unreachable",
        "unreachable",
      ],
      "linked",
    ]
  `);
});

it('breaks a pending call when partitioned', async () => {
  network.hold(({ kind }) => kind === 'claim.answer');
  const pending = claim();
  await ManualTimer.settle();
  network.partition('near', 'far');
  expect([await pending, received]).toMatchInlineSnapshot(`
    [
      "broken",
      [
        "claim",
      ],
    ]
  `);
});

it('drops messages silently in one direction', async () => {
  network.blackhole('near', 'far', 'one');
  grant(near, 'lost');
  grant(far, 'kept');
  await ManualTimer.settle();
  near.close();
  await timer.advance(60_000);
  expect([received, far.closed.aborted]).toMatchInlineSnapshot(`
    [
      [
        "near:kept",
        "near ended",
      ],
      false,
    ]
  `);
});

it('fails calls to an unresponsive peer', async () => {
  network.blackhole('near', 'far');
  const pending = Promise.all([claim(), redial()]);
  await timer.advance(15_000);
  expect(await pending).toEqual(['broken', 'broken']);
});

it('keeps the order of delayed messages', async () => {
  network.delay('near', 'far', 5);
  grant(near, 'slow');
  network.delay('near', 'far', 0);
  grant(near, 'next');
  await timer.advance(4);
  const before = [...received];
  await timer.advance(1);
  expect([before, received]).toEqual([[], ['far:slow', 'far:next']]);
});

it('holds messages back and releases them in reverse order', async () => {
  const held = network.hold(({ kind, from }) => kind === 'grant' && from === 'near');
  ['one', 'two'].forEach((service) => grant(near, service));
  withdraw(near, 'passing');
  await ManualTimer.settle();
  held.release('reversed');
  await ManualTimer.settle();
  expect(received).toEqual(['far:passing', 'far:two', 'far:one']);
});

it('queues messages to and from a paused instance', async () => {
  network.pause('far');
  grant(near, 'waiting');
  grant(far, 'stuck');
  const pending = claim();
  await timer.advance(1000);
  const before = [...received];
  network.resume('far');
  expect([before, await pending, received.sort()]).toMatchInlineSnapshot(`
    [
      [],
      "answered",
      [
        "claim",
        "far:waiting",
        "near:stuck",
      ],
    ]
  `);
});

it('delivers to a resumed instance a call that its caller has given up', async () => {
  network.pause('far');
  const pending = claim();
  await timer.advance(15_000);
  const outcome = await pending;
  network.resume('far');
  await ManualTimer.settle();
  expect([outcome, received]).toEqual(['broken', ['claim']]);
});

it('leaves no link open after a dial that was given up', async () => {
  network.pause('far');
  const pending = redial();
  await timer.advance(5000);
  const outcome = await pending;
  network.resume('far');
  await ManualTimer.settle();
  expect([outcome, networkCase.servedLinks.map(({ closed }) => closed.aborted)])
    .toMatchInlineSnapshot(`
    [
      "broken",
      [
        false,
        true,
      ],
    ]
  `);
});

it('ends the links of a killed instance for its peers only', async () => {
  grant(far, 'last');
  network.kill('far');
  grant(far, 'after');
  await ManualTimer.settle();
  expect([received, far.closed.aborted, await claim()]).toMatchInlineSnapshot(`
    [
      [
        "near:last",
        "near ended",
      ],
      false,
      "unreachable",
    ]
  `);
});

it('counts messages by kind', async () => {
  grant(near, 'one');
  grant(far, 'two');
  await claim();
  expect(network.messageCounts()).toMatchInlineSnapshot(`
    {
      "claim": 1,
      "claim.answer": 1,
      "dial": 1,
      "dial.answer": 1,
      "grant": 2,
    }
  `);
});
