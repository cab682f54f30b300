import { expect, test } from 'vitest';
import OperatorKeyReader from '../../platform/OperatorKeyReader';
import HttpStore from '../../platform/HttpStore';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import PrefixWatcher from '../../src/membership/PrefixWatcher';
import HttpStandIn from '../support/HttpStandIn';

const timer = SystemTimer.create();
const log = { info: () => undefined, warn: () => undefined, error: () => undefined };

function drained(zone: string, revision: number) {
  return { key: `op/evacuate/${zone}`, value: 'e30=', revision };
}

/** Answers to the store's calls, one after the other; returns what the entry is told of drained zones. */
async function told(...answers: readonly { readonly status: number; readonly body?: unknown }[]) {
  const stop = new AbortController();
  const seen: string[] = [];
  const left = [...answers];
  const store = await HttpStandIn.open(() => {
    const next = left.shift();
    if (!next) stop.abort();
    return next ?? 'silence';
  });
  const keys = OperatorKeyReader.create(log, {
    onConfiguration: (table) => seen.push(`configuration ${table.version}`),
    onDrainedZones: ({ revision, zones }) => seen.push(`${revision}: ${zones.join()}`),
  });
  const calls = HttpStore.create(timer, store.address);
  await PrefixWatcher.of({
    ...{ timer, log, random: Random.fromSeed(1), store: calls, prefix: 'op/' },
    onPut: (key, value) => keys.handlePut(key, value),
    onDelete: (key) => keys.handleDelete(key),
    onRevision: (revision) => keys.handleRevision(revision),
  }).run(stop.signal);
  await store.close();
  return seen;
}

test('keys of drained zones are read with the configuration', async () => {
  const configuration = Buffer.from(JSON.stringify({ version: 3, routes: [] })).toString('base64');
  const items = [drained('hall', 4), { key: 'op/config', value: configuration, revision: 2 }];
  expect(await told({ status: 200, body: { items, at: 9 } })).toEqual([
    'configuration 3',
    '9: hall',
  ]);
});

test('a key that is deleted takes its zone back', async () => {
  const seen = await told(
    { status: 200, body: { items: [drained('hall', 4)], at: 4 } },
    { status: 200, body: { events: [drained('yard', 5)], at: 5 } },
    {
      status: 200,
      body: { events: [{ key: 'op/evacuate/hall', revision: 6, deleted: true }], at: 6 },
    },
  );
  expect(seen).toEqual(['4: hall', '5: hall,yard', '6: yard']);
});

// A list names what is there, not what has gone: a zone that was taken back while the store forgot its history
// would stay drained for ever.
test('a key that is gone after a gap in the history takes its zone back', async () => {
  const seen = await told(
    { status: 200, body: { items: [drained('hall', 4), drained('yard', 4)], at: 4 } },
    { status: 410 },
    { status: 200, body: { items: [drained('yard', 4)], at: 8 } },
  );
  expect(seen).toEqual(['4: hall,yard', '8: yard']);
});

test('other keys of the operators change nothing', async () => {
  const wave = { key: 'op/wave/1', value: 'e30=', revision: 4 };
  expect(await told({ status: 200, body: { items: [wave], at: 4 } })).toEqual(['4: ']);
});

test('of several events of a key in one answer the newest counts', async () => {
  const gone = { key: 'op/evacuate/hall', revision: 5, deleted: true };
  const seen = await told(
    { status: 200, body: { items: [], at: 3 } },
    { status: 200, body: { events: [drained('hall', 4), gone, drained('hall', 6)], at: 6 } },
    { status: 200, body: { events: [drained('yard', 7), { ...gone, revision: 8 }], at: 8 } },
  );
  expect(seen).toEqual(['3: ', '6: hall', '8: yard']);
});

// A configuration may be as large as a page, and the keys of drained zones come behind it.
test('keys on later pages of a list are read', async () => {
  const configuration = { key: 'op/config', value: 'e30=', revision: 1 };
  const seen = await told(
    { status: 200, body: { items: [configuration], at: 4, has_more: true } },
    { status: 200, body: { items: [drained('hall', 4)], at: 5 } },
  );
  expect(seen).toEqual(['4: hall']);
});
