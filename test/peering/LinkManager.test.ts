import { create } from '@bufbuild/protobuf';
import { okAsync, ResultAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import { HelloSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import LinkManager from '../../src/peering/LinkManager';
import ManualTimer from '../support/ManualTimer';

type Network = Parameters<typeof LinkManager.create>[0]['network'];

/** Maintains a link to one address for a second; returns the distinct events, and whether they were repeated. */
async function runManager(dial: Network['dial'], serve: (link: Link) => Promise<boolean>) {
  const timer = ManualTimer.create();
  const seen: string[] = [];
  const manager = LinkManager.create({
    ...{ timer, serve, random: Random.fromSeed(1), network: { dial } as Network },
    delays: { firstMs: 50, limitMs: 200 },
    hello: () => create(HelloSchema),
    onDial: (address, failure) => seen.push(`dialled ${address}: ${failure}`),
    onError: (address, error) => seen.push(`failed ${address}: ${error}`),
  });
  manager.setAddresses(['e1:1']);
  await timer.advance(1_000);
  const ended = manager.stop();
  await timer.advance(1_000);
  await ended;
  return { events: [...new Set(seen)], isRepeated: seen.length > 4 };
}

// An address in an entry's hello or list of entries may be any string. For "" and "10.0.0.1:99999" the dial
// rejected ("TypeError: Invalid URL"). The address was never dialled again, and since the rejection was
// not handled, Node ended every process that had received the address.
test('an invalid address is dialled again like one that does not answer', async () => {
  const dial = () => ResultAsync.fromSafePromise<Link>(Promise.reject(new Error('no URL')));
  expect(await runManager(dial, async () => true)).toEqual({
    events: ['dialled e1:1: Error: no URL'],
    isRepeated: true,
  });
});

// An error in serving a link ended the process in the same way, and left the link open.
test('a link whose serving fails is closed, and the address is dialled again', async () => {
  const closed: string[] = [];
  const link = { close: () => closed.push('closed') } as unknown as Link;
  const serve = () => Promise.reject(new Error('no table'));
  expect(await runManager(() => okAsync(link), serve)).toEqual({
    events: ['dialled e1:1: undefined', 'failed e1:1: Error: no table'],
    isRepeated: true,
  });
  expect(closed.length).toBeGreaterThan(1);
});
