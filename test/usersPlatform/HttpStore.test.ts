import { expect, test } from 'vitest';
import HttpStore from '../../platform/HttpStore';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import PresenceKey from '../../src/membership/PresenceKey';
import PrefixWatcher from '../../src/membership/PrefixWatcher';
import HttpStandIn from '../support/HttpStandIn';

const log = { info: () => undefined, warn: () => undefined };
const timer = SystemTimer.create();

function item(key: string, value: string, revision: number) {
  return { key, value: Buffer.from(value).toString('base64'), revision };
}

/** Follows `op/config` until the wanted number of values has come, and returns them; "bad" can't be taken. */
async function follow(store: HttpStandIn, wanted: number): Promise<readonly string[]> {
  const stop = new AbortController();
  const values: string[] = [];
  const put = (_key: string, value: string): void => {
    values.push(value);
    if (values.length === wanted) stop.abort();
    if (value === 'bad') throw new Error('a fault');
  };
  const calls = HttpStore.create(timer, store.address);
  const parts = { timer, log, random: Random.fromSeed(1), store: calls, prefix: 'op/config' };
  await PrefixWatcher.of({ ...parts, onPut: put }).run(stop.signal);
  await store.close();
  return values;
}

test('a key is listed first and then watched from there', async () => {
  const store = await HttpStandIn.open(({ path }) =>
    path.includes('kv-range')
      ? { status: 200, body: { items: [item('op/config', 'one', 4)], at: 5 } }
      : { status: 200, body: { events: [item('op/config', 'two', 6)], at: 6 } },
  );
  const values = await follow(store, 2);
  expect([values, store.calls.map(({ path }) => path)]).toMatchInlineSnapshot(`
    [
      [
        "one",
        "two",
      ],
      [
        "/magnoliakeel/kv-range?prefix=op%2Fconfig",
        "/magnoliakeel/kv-watch?prefix=op%2Fconfig&after=5&wait_ms=5000",
      ],
    ]
  `);
});

// An error in taking one value ended the following for good ("following the store failed"): the process went
// on with the configuration it had, and no later one came.
test('a value that cannot be taken is passed over, and the key is followed on', async () => {
  const store = await HttpStandIn.open(({ path }) =>
    path.includes('kv-range')
      ? { status: 200, body: { items: ['bad', 'one'].map((value) => item('k', value, 4)), at: 5 } }
      : { status: 200, body: { events: [item('k', 'two', 6)], at: 6 } },
  );
  expect(await follow(store, 3)).toEqual(['bad', 'one', 'two']);
});

test('a forgotten history is listed anew', async () => {
  let lists = 0;
  const store = await HttpStandIn.open(({ path }) => {
    if (!path.includes('kv-range')) return { status: 410 };
    lists += 1;
    return { status: 200, body: { items: [item('op/config', `list ${lists}`, 4)], at: 5 } };
  });
  expect(await follow(store, 2)).toEqual(['list 1', 'list 2']);
});

test('a store that breaks connections is asked again', async () => {
  let calls = 0;
  const store = await HttpStandIn.open(() => {
    calls += 1;
    if (calls < 3) return 'reset';
    return { status: 200, body: { items: [item('op/config', 'there', 4)], at: 5 } };
  });
  expect([await follow(store, 1), calls]).toEqual([['there'], 3]);
});

test('the key of a lapsed lease is written anew', async () => {
  const stop = new AbortController();
  const paths: string[] = [];
  const store = await HttpStandIn.open(({ path }) => {
    paths.push(path.split('/').slice(2).join('/'));
    if (paths.length === 5) stop.abort();
    if (path.includes('kv-keep')) return { status: 404 };
    return { status: 200, body: path.includes('kv-lease') ? { lease_id: paths.length } : {} };
  });
  const calls = HttpStore.create(timer, store.address);
  const key = PresenceKey.of({
    timer: {
      now: () => timer.now(),
      wall: () => timer.wall(),
      after: (delayMs, handler) => timer.after(delayMs, handler),
      every: (delayMs, handler) => timer.every(delayMs, handler),
      sleep: (_delayMs, signal) => timer.sleep(1, signal),
    },
    ...{ store: calls, log, key: 'entries/e1', value: '10.0.0.1:7' },
  });
  await key.run(stop.signal);
  await store.close();
  expect(paths.slice(0, 5)).toEqual(['kv-lease', 'kv-txn', 'kv-keep/1', 'kv-lease', 'kv-txn']);
});

test('a first list that gets no answer is asked for again after four tenths of a second', async () => {
  const store = await HttpStandIn.open(() =>
    store.calls.length === 1
      ? 'silence'
      : { status: 200, body: { items: [item('op/config', 'one', 4)], at: 5 } },
  );
  const startedAt = timer.now();
  const values = await follow(store, 1);
  expect([values, timer.now() - startedAt < 1_400]).toEqual([['one'], true]);
});

// With 950 routes and a history that the store had dropped, a configuration was in force 4 s after it was stored. A
// list had 400 to 1,500 ms in all, and the small machines' links take longer for so many bytes: it was thrown away
// and begun anew, and with 1,400 routes it never ended.
test('a long list is read to its end as long as more of it comes', async () => {
  const parts = { count: 12, gapMs: 60 };
  const store = await HttpStandIn.open(() => ({
    status: 200,
    body: { items: [item('op/config', 'x'.repeat(50_000), 4)], at: 5 },
    parts,
  }));
  const values = await follow(store, 1);
  expect([values.map(({ length }) => length), store.calls.length]).toEqual([[50_000], 1]);
});

test('a list of which nothing more comes is asked for again', async () => {
  const store = await HttpStandIn.open(() => ({
    status: 200,
    body: { items: [item('op/config', 'one', 4)], at: 5 },
    parts: store.calls.length === 1 ? { count: 2, gapMs: 3_000 } : undefined,
  }));
  expect([await follow(store, 1), store.calls.length]).toEqual([['one'], 2]);
});
