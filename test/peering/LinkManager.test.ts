import { create } from '@bufbuild/protobuf';
import { okAsync, ResultAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import { HelloSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import LinkManager from '../../src/peering/LinkManager';
import ManualTimer from '../support/ManualTimer';

type Network = Parameters<typeof LinkManager.create>[0]['network'];

/** Keeps a link to one address for a second; returns what was seen of it, without repetition. */
async function keep(dial: Network['dial'], serve: (link: Link) => Promise<boolean>) {
  const timer = ManualTimer.create();
  const seen: string[] = [];
  const keeper = LinkManager.create({
    ...{ timer, serve, random: Random.fromSeed(1), network: { dial } as Network },
    delays: { firstMs: 50, limitMs: 200 },
    hello: () => create(HelloSchema),
    onDial: (address, failure) => seen.push(`dialled ${address}: ${failure}`),
    onError: (address, error) => seen.push(`failed ${address}: ${error}`),
  });
  keeper.setAddresses(['e1:1']);
  await timer.advance(1_000);
  const ended = keeper.stop();
  await timer.advance(1_000);
  await ended;
  return { events: [...new Set(seen)], isRepeated: seen.length > 4 };
}

// An entry's hello or its list of entries may hold any text as an address. "" and "10.0.0.1:99999" made the
// dial reject ("TypeError: Invalid URL"). The address was never dialled again, and since nobody handled
// the rejection, Node ended the process; every process that was told the address ended so.
test('an address that cannot be dialled at all is tried again like one that does not answer', async () => {
  const dial = () => ResultAsync.fromSafePromise<Link>(Promise.reject(new Error('no URL')));
  expect(await keep(dial, async () => true)).toEqual({
    events: ['dialled e1:1: Error: no URL'],
    isRepeated: true,
  });
});

// The same end came from an error in serving a link, with the link left open.
test('a link whose serving fails is closed, and the address is dialled again', async () => {
  const closed: string[] = [];
  const link = { close: () => closed.push('closed') } as unknown as Link;
  const serve = () => Promise.reject(new Error('no table'));
  expect(await keep(() => okAsync(link), serve)).toEqual({
    events: ['dialled e1:1: undefined', 'failed e1:1: Error: no table'],
    isRepeated: true,
  });
  expect(closed.length).toBeGreaterThan(1);
});
