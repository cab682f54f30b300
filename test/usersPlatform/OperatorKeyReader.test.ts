import { expect, test } from 'vitest';
import OperatorKeyReader from '../../platform/OperatorKeyReader';
import PlatformStoreClient from '../../platform/PlatformStoreClient';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import PrefixWatcher from '../../src/membership/PrefixWatcher';
import FakeHttpServer from '../support/FakeHttpServer';

const timer = SystemTimer.create();
const log = { info: () => undefined, warn: () => undefined, error: () => undefined };

function drainedKey(zone: string, revision: number) {
  return { key: `op/evacuate/${zone}`, value: 'e30=', revision };
}

/** Gives these answers to the store's calls in turn; returns the reported configurations and drained zones. */
async function reportedFor(
  ...answers: readonly { readonly status: number; readonly body?: unknown }[]
) {
  const stop = new AbortController();
  const seen: string[] = [];
  const remaining = [...answers];
  const store = await FakeHttpServer.open(() => {
    const next = remaining.shift();
    if (!next) stop.abort();
    return next ?? 'silence';
  });
  const keys = OperatorKeyReader.create(log, {
    onConfiguration: (table) => seen.push(`configuration ${table.version}`),
    onDrainedZones: ({ revision, zones }) => seen.push(`${revision}: ${zones.join()}`),
  });
  const client = PlatformStoreClient.create(timer, store.address);
  await PrefixWatcher.of({
    ...{ timer, log, random: Random.fromSeed(1), store: client, prefix: 'op/' },
    onPut: (key, value) => keys.handlePut(key, value),
    onDelete: (key) => keys.handleDelete(key),
    onRevision: (revision) => keys.handleRevision(revision),
  }).run(stop.signal);
  await store.close();
  return seen;
}

test('keys of drained zones are read with the configuration', async () => {
  const configuration = Buffer.from(JSON.stringify({ version: 3, routes: [] })).toString('base64');
  const items = [drainedKey('hall', 4), { key: 'op/config', value: configuration, revision: 2 }];
  expect(await reportedFor({ status: 200, body: { items, at: 9 } })).toEqual([
    'configuration 3',
    '9: hall',
  ]);
});

test('deleting a key ends the draining of its zone', async () => {
  const seen = await reportedFor(
    { status: 200, body: { items: [drainedKey('hall', 4)], at: 4 } },
    { status: 200, body: { events: [drainedKey('yard', 5)], at: 5 } },
    {
      status: 200,
      body: { events: [{ key: 'op/evacuate/hall', revision: 6, deleted: true }], at: 6 },
    },
  );
  expect(seen).toEqual(['4: hall', '5: hall,yard', '6: yard']);
});

// A list has only the keys that exist, not the deleted ones: a zone whose key was deleted while the store dropped
// its history would stay drained forever.
test('a key missing from the list after a gap in the history ends the draining of its zone', async () => {
  const seen = await reportedFor(
    { status: 200, body: { items: [drainedKey('hall', 4), drainedKey('yard', 4)], at: 4 } },
    { status: 410 },
    { status: 200, body: { items: [drainedKey('yard', 4)], at: 8 } },
  );
  expect(seen).toEqual(['4: hall,yard', '8: yard']);
});

test('other keys of operators are ignored', async () => {
  const otherKey = { key: 'op/wave/1', value: 'e30=', revision: 4 };
  expect(await reportedFor({ status: 200, body: { items: [otherKey], at: 4 } })).toEqual(['4: ']);
});

test('of several events of a key in one response only the newest counts', async () => {
  const deletion = { key: 'op/evacuate/hall', revision: 5, deleted: true };
  const seen = await reportedFor(
    { status: 200, body: { items: [], at: 3 } },
    {
      status: 200,
      body: { events: [drainedKey('hall', 4), deletion, drainedKey('hall', 6)], at: 6 },
    },
    { status: 200, body: { events: [drainedKey('yard', 7), { ...deletion, revision: 8 }], at: 8 } },
  );
  expect(seen).toEqual(['3: ', '6: hall', '8: yard']);
});

// A configuration may fill a page, and the keys of drained zones come after it.
test('keys on later pages of a list are handled', async () => {
  const configuration = { key: 'op/config', value: 'e30=', revision: 1 };
  const seen = await reportedFor(
    { status: 200, body: { items: [configuration], at: 4, has_more: true } },
    { status: 200, body: { items: [drainedKey('hall', 4)], at: 5 } },
  );
  expect(seen).toEqual(['4: hall']);
});
