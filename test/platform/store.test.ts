import { afterEach, describe, expect, test } from 'vitest';
import HttpStore from '../../src/store/HttpStore';
import type Store from '../../src/store/Store';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import type StoreFaults from '../../tools/platform/StoreFaults';
import PlatformServer from '../../tools/platform/PlatformServer';
import ManualTimer from '../support/ManualTimer';
import outcome from '../support/outcome';

interface StoreCase {
  readonly engine: SimulatedStoreEngine;
  readonly timer: ManualTimer;
  readonly store: Store;
}

const cleanups: (() => Promise<void>)[] = [];

const storeCases: Record<string, () => Promise<StoreCase>> = {
  'in process': async () => {
    const timer = ManualTimer.create();
    const engine = SimulatedStoreEngine.create(timer);
    return { engine, timer, store: engine.client('a') };
  },
  'over HTTP': () => httpCase(),
};

async function httpCase(callsPerSecond = 100): Promise<StoreCase> {
  const timer = ManualTimer.create();
  const engine = SimulatedStoreEngine.create(timer);
  const server = PlatformServer.of(engine);
  const url = `http://${await server.listen('127.0.0.1', 0)}`;
  const options = { url, client: 'a', timer, callsPerSecond, timeoutMs: 2_000 };
  const store = HttpStore.create(options);
  cleanups.push(
    () => store.close(),
    () => server.close(),
  );
  return { engine, timer, store };
}

/** Waits, without advancing the clock, until the engine has counted this many calls. */
async function waitForCalls(
  engine: SimulatedStoreEngine,
  kind: keyof Store,
  count: number,
): Promise<void> {
  await expect.poll(() => engine.calls().a?.[kind]).toBe(count);
}

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

describe.each(Object.entries(storeCases))('a store %s', (_, create) => {
  test('writes by compare-and-swap', async () => {
    const { store } = await create();
    expect([
      await outcome(store.put('entries/a?b', 'one', { expectRevision: 0 })),
      await outcome(store.put('entries/a?b', 'two', { expectRevision: 0 })),
      await outcome(store.remove('entries/a?b', 7)),
      await outcome(store.get('entries/a?b')),
      await outcome(store.get('absent')),
      await outcome(store.list('entries/')),
    ]).toMatchInlineSnapshot(`
      [
        "1",
        "conflict",
        "conflict",
        "{key:entries/a?b,value:one,revision:1}",
        "nothing",
        "{revision:1,items:[{key:entries/a?b,value:one,revision:1}],deleted:[]}",
      ]
    `);
  });

  test('deletes the keys of an expired lease', async () => {
    const { store, timer } = await create();
    const lease = await outcome(store.grantLease(3_000));
    await store.put('k', 'v', { lease });
    await timer.advance(2_000);
    await store.renewLease(lease);
    await timer.advance(2_000);
    const renewed = await outcome(store.get('k').map((item) => item?.value));
    await timer.advance(1_000);
    const expired = await outcome(store.get('k'));
    expect([renewed, expired, await outcome(store.renewLease(lease))]).toMatchInlineSnapshot(`
      [
        "v",
        "nothing",
        "leaseGone",
      ]
    `);
  });

  test('answers a watch on a change, and without changes at its time-out', async () => {
    const { engine, store, timer } = await create();
    const changed = store.watch('a', 0, 1_000);
    await waitForCalls(engine, 'watch', 1);
    await engine.put('b', 'other');
    await engine.put('a', 'v');
    const first = await outcome(changed);
    const deleted = store.watch('a', 2, 1_000);
    await waitForCalls(engine, 'watch', 2);
    await engine.remove('a');
    const second = await outcome(deleted);
    const idle = store.watch('a', 3, 1_000);
    await waitForCalls(engine, 'watch', 3);
    await timer.advance(1_000);
    expect([first, second, await outcome(idle)]).toMatchInlineSnapshot(`
      [
        "{revision:2,items:[{key:a,value:v,revision:2}],deleted:[]}",
        "{revision:3,items:[],deleted:[a]}",
        "{revision:3,items:[],deleted:[]}",
      ]
    `);
  });

  test('fails with unavailable if the answer to a write is lost', async () => {
    const { engine, store } = await create();
    engine.setFaults({ answerLost: true }, 'a');
    const put = await outcome(store.put('k', 'v'));
    expect([put, await outcome(store.get('k'))]).toMatchInlineSnapshot(`
      [
        "unavailable",
        "{key:k,value:v,revision:1}",
      ]
    `);
  });

  test('ends pending watches and keeps leases while it is down', async () => {
    const { engine, store, timer } = await create();
    const lease = await outcome(store.grantLease(1_000));
    await store.put('k', 'v', { lease });
    const watch = store.watch('x', 1, 60_000);
    await waitForCalls(engine, 'watch', 1);
    engine.setFaults({ down: true });
    const broken = await outcome(watch);
    await timer.advance(60_000);
    const down = await outcome(store.get('k'));
    engine.setFaults({});
    await timer.advance(999);
    const back = await outcome(store.get('k'));
    expect([broken, down, back]).toMatchInlineSnapshot(`
      [
        "unavailable",
        "unavailable",
        "{key:k,value:v,revision:1}",
      ]
    `);
  });
});

describe('a store over HTTP', () => {
  test('fails at its time-out although the write takes effect', async () => {
    const { engine, store, timer } = await httpCase();
    engine.setFaults({ slowMs: 5_000 });
    const put = store.put('k', 'v');
    await waitForCalls(engine, 'put', 1);
    await timer.advance(2_000);
    const result = await put;
    await timer.advance(3_000);
    expect([result, await outcome(engine.get('k'))]).toMatchInlineSnapshot(`
      [
        Err {
          "error": {
            "kind": "unavailable",
            "reason": "timeout",
          },
        },
        "{key:k,value:v,revision:1}",
      ]
    `);
  });

  test('limits its rate of calls', async () => {
    const { engine, store, timer } = await httpCase(2);
    const calls = Array.from({ length: 8 }, () => store.get('k'));
    await Promise.all(calls.slice(0, 2));
    const atOnce = engine.calls().a;
    await timer.advance(500);
    await calls[2];
    const later = engine.calls().a;
    await timer.advance(1_500);
    const refused = (await Promise.all(calls)).filter((call) => call.isErr()).length;
    expect(JSON.stringify({ atOnce, later, refused })).toMatchInlineSnapshot(
      `"{"atOnce":{"get":2},"later":{"get":3},"refused":2}"`,
    );
  });

  test('ends a watch that its caller aborts', async () => {
    const { engine, store } = await httpCase();
    const caller = new AbortController();
    const watch = store.watch('', 0, 30_000, caller.signal);
    await waitForCalls(engine, 'watch', 1);
    caller.abort();
    expect(await watch).toMatchInlineSnapshot(`
      Err {
        "error": {
          "kind": "unavailable",
          "reason": "aborted",
        },
      }
    `);
  });

  test('sets faults and reports call counts through HTTP calls', async () => {
    const { engine } = await httpCase();
    const server = PlatformServer.of(engine);
    const url = `http://${await server.listen('127.0.0.1', 0)}`;
    cleanups.push(() => server.close());
    const faults: StoreFaults & { client: string } = { client: 'b', down: true };
    await fetch(`${url}/v1/faults`, { method: 'PUT', body: JSON.stringify(faults) });
    const down = await fetch(`${url}/v1/keys/k`, { headers: { 'x-client': 'b' } });
    const up = await fetch(`${url}/v1/keys/k`, { headers: { 'x-client': 'c' } });
    const counts = await fetch(`${url}/v1/calls`);
    expect([down.status, up.status, await counts.text()]).toMatchInlineSnapshot(`
      [
        503,
        404,
        "{"b":{"get":1},"c":{"get":1}}",
      ]
    `);
  });
});
