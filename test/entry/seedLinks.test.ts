import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import Versioned from '../../src/core/Versioned';
import SeedLinks from '../../src/entry/SeedLinks';
import {
  ConfigurationSchema,
  HeartbeatSchema,
  HelloSchema,
  Role,
  ViewSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type PeerHandlers from '../../src/link/PeerHandlers';
import ManualTimer from '../support/ManualTimer';
import MemoryNetwork from '../support/MemoryNetwork';

/**
 * Runs an entry with two seed entries: the first is unreachable, the second sends
 * the given states, each after a delay.
 */
async function contactSeeds(
  states: readonly { afterMs: number; view?: bigint; version?: bigint }[],
) {
  const timer = ManualTimer.create();
  const network = MemoryNetwork.create(timer);
  const hello = (instance: string) => () =>
    create(HelloSchema, { protocol: 1, role: Role.ENTRY, instance, incarnation: `${instance}.1` });
  const serve = async (opened: Link) => {
    for (const { afterMs, view, version } of states) {
      await timer.sleep(afterMs);
      if (view) opened.send({ case: 'view', value: create(ViewSchema, { number: view }) });
      const value = create(ConfigurationSchema, { version: version ?? 0n });
      opened.send({ case: 'configuration', value });
    }
    opened.send({ case: 'heartbeat', value: create(HeartbeatSchema) });
    await timer.sleep(60_000);
  };
  await network
    .endpoint('b')
    .listen('b:1', hello('b'), { link: serve } as Partial<PeerHandlers> as PeerHandlers);
  const views = Versioned.of(create(ViewSchema), ({ number }) => number);
  const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
  const seeds = SeedLinks.create({
    ...{ timer, random: Random.fromSeed(1), network: network.endpoint('a'), views, configurations },
    ...{ addresses: ['none:1', 'b:1'], self: 'a.1', hello: hello('a') },
    keepAlive: { intervalMs: 1000, suspectMs: 3000, closeMs: 10_000 },
    isNeeded: () => views.number < 9n,
    onMessageError: () => undefined,
  });
  seeds.run(new AbortController().signal).catch(() => undefined);
  const initially = seeds.hasContactedAll;
  await timer.advance(30_000);
  return [views.number, configurations.number, initially, seeds.hasContactedAll];
}

test('an entry without a store receives the view and the configuration from a seed entry', async () => {
  const state = await contactSeeds([{ afterMs: 0, view: 9n, version: 3n }]);
  expect(state).toEqual([9n, 3n, false, true]);
});

test('an entry keeps the link to a seed entry whose state is too old', async () => {
  const state = await contactSeeds([
    { afterMs: 0, version: 3n },
    { afterMs: 2000, view: 7n, version: 4n },
    { afterMs: 3000, view: 8n, version: 4n },
  ]);
  expect(state).toEqual([8n, 4n, false, true]);
});
