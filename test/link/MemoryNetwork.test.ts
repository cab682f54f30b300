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
let pair: NetworkCase;
let near: Link;
let far: Link;
let heard: string[];

beforeEach(async () => {
  timer = ManualTimer.create();
  network = MemoryNetwork.create(timer);
  const ends = { near: network.endpoint('near'), far: network.endpoint('far') };
  pair = await NetworkCase.start(() => ({ ...ends, close: () => undefined }), {
    claim: async () => {
      heard.push('claim');
      return create(ClaimResponseSchema);
    },
  });
  near = await pair.dial();
  far = pair.servedLinks[0]!;
  heard = [];
  listen('near', near);
  listen('far', far);
});

async function listen(name: string, link: Link): Promise<void> {
  for await (const { value } of link.messages()) {
    heard.push(`${name}:${(value as { service: string }).service}`);
  }
  heard.push(`${name} ended`);
}

function grant(link: Link, service: string): void {
  link.send({ case: 'grant', value: create(GrantSchema, { service }) });
}

function withdraw(link: Link, service: string): void {
  link.send({ case: 'withdraw', value: create(WithdrawSchema, { service }) });
}

function claim(): Promise<string> {
  const called = pair.near.claim(pair.listener.address, create(ClaimRequestSchema));
  return Promise.resolve(
    called.match(
      () => 'answered',
      ({ kind }) => kind,
    ),
  );
}

async function redial(): Promise<string> {
  const dialled = await pair.near.dial(pair.listener.address, NetworkCase.hello('near'));
  return dialled.match(
    () => 'linked',
    ({ kind }) => kind,
  );
}

it('passes copies', async () => {
  const value = create(GrantSchema, { service: 'before' });
  near.send({ case: 'grant', value });
  value.service = 'after';
  await ManualTimer.settle();
  expect(heard).toEqual(['far:before']);
});

it('cuts links and refuses calls until joined', async () => {
  network.partition('near', 'far');
  const refused = [await claim(), await redial()];
  network.heal('near', 'far');
  expect([heard, refused, await redial()]).toMatchInlineSnapshot(`
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

it('breaks a call that is under way when cut', async () => {
  network.hold(({ kind }) => kind === 'claim.answer');
  const pending = claim();
  await ManualTimer.settle();
  network.partition('near', 'far');
  expect([await pending, heard]).toMatchInlineSnapshot(`
    [
      "broken",
      [
        "claim",
      ],
    ]
  `);
});

it('loses messages one way without a word', async () => {
  network.blackhole('near', 'far', 'one');
  grant(near, 'lost');
  grant(far, 'kept');
  await ManualTimer.settle();
  near.close();
  await timer.advance(60_000);
  expect([heard, far.closed.aborted]).toMatchInlineSnapshot(`
    [
      [
        "near:kept",
        "near ended",
      ],
      false,
    ]
  `);
});

it('ends calls into silence', async () => {
  network.blackhole('near', 'far');
  const pending = Promise.all([claim(), redial()]);
  await timer.advance(15_000);
  expect(await pending).toEqual(['broken', 'broken']);
});

it('delays in order', async () => {
  network.delay('near', 'far', 5);
  grant(near, 'slow');
  network.delay('near', 'far', 0);
  grant(near, 'next');
  await timer.advance(4);
  const before = [...heard];
  await timer.advance(1);
  expect([before, heard]).toEqual([[], ['far:slow', 'far:next']]);
});

it('holds and reorders', async () => {
  const held = network.hold(({ kind, from }) => kind === 'grant' && from === 'near');
  ['one', 'two'].forEach((service) => grant(near, service));
  withdraw(near, 'passing');
  await ManualTimer.settle();
  held.release('reversed');
  await ManualTimer.settle();
  expect(heard).toEqual(['far:passing', 'far:two', 'far:one']);
});

it('keeps what a paused instance is sent and sends', async () => {
  network.pause('far');
  grant(near, 'waiting');
  grant(far, 'stuck');
  const pending = claim();
  await timer.advance(1000);
  const before = [...heard];
  network.resume('far');
  expect([before, await pending, heard.sort()]).toMatchInlineSnapshot(`
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

it('delivers to a resumed instance what its caller gave up on', async () => {
  network.pause('far');
  const pending = claim();
  await timer.advance(15_000);
  const outcome = await pending;
  network.resume('far');
  await ManualTimer.settle();
  expect([outcome, heard]).toEqual(['broken', ['claim']]);
});

it('leaves no link behind after a dial that was given up', async () => {
  network.pause('far');
  const pending = redial();
  await timer.advance(5000);
  const outcome = await pending;
  network.resume('far');
  await ManualTimer.settle();
  expect([outcome, pair.servedLinks.map(({ closed }) => closed.aborted)]).toMatchInlineSnapshot(`
    [
      "broken",
      [
        false,
        true,
      ],
    ]
  `);
});

it('shows a killed instance to others only', async () => {
  grant(far, 'last');
  network.kill('far');
  grant(far, 'after');
  await ManualTimer.settle();
  expect([heard, far.closed.aborted, await claim()]).toMatchInlineSnapshot(`
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
