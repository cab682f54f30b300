import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Random from '../src/core/Random';
import Versioned from '../src/core/Versioned';
import learnFromPeers from '../src/entry/learnFromPeers';
import {
  ConfigurationSchema,
  HelloSchema,
  Role,
  ViewSchema,
} from '../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../src/link/Link';
import type PeerHandlers from '../src/link/PeerHandlers';
import ManualTimer from './support/ManualTimer';
import MemoryNetwork from './support/MemoryNetwork';

/** An entry that asks two others: the first is not there, the second tells what it knows. */
async function ask(knows: { view?: bigint; version?: bigint }) {
  const timer = ManualTimer.create();
  const network = MemoryNetwork.create(timer);
  const hello = (instance: string) => () =>
    create(HelloSchema, { protocol: 1, role: Role.ENTRY, instance, incarnation: `${instance}.1` });
  const link = async (made: Link) => {
    if (knows.view) made.send({ case: 'view', value: create(ViewSchema, { number: knows.view }) });
    const value = create(ConfigurationSchema, { version: knows.version ?? 0n });
    made.send({ case: 'configuration', value });
  };
  await network
    .endpoint('b')
    .listen('b:1', hello('b'), { link } as Partial<PeerHandlers> as PeerHandlers);
  const views = Versioned.of(create(ViewSchema), ({ number }) => number);
  const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
  const stop = new AbortController();
  let isDone = false;
  const options = {
    timer,
    random: Random.fromSeed(1),
    network: network.endpoint('a'),
    views,
    configurations,
  };
  learnFromPeers({ ...options, addresses: ['none:1', 'b:1'], hello: hello('a') }, stop.signal).then(
    () => {
      isDone = true;
    },
  );
  await timer.advance(30_000);
  return [views.number, configurations.number, isDone];
}

test('an entry without a store learns the view and the configuration from another', async () => {
  expect(await ask({ view: 7n, version: 3n })).toEqual([7n, 3n, true]);
});

test('it asks on while the other knows too little', async () => {
  expect(await ask({ version: 3n })).toEqual([0n, 3n, false]);
});
