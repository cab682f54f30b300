import { afterEach, beforeEach, expect, test } from 'vitest';
import PlatformStoreClient from '../../platform/PlatformStoreClient';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import PrefixWatcher from '../../src/membership/PrefixWatcher';
import TcpProxy from '../../tools/harness/TcpProxy';
import PlatformServer from '../../tools/platform/PlatformServer';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import kvRoutes from '../../tools/soak/kvRoutes';

// All open connections to the store went silent without a reset, while new ones worked. The watch of the configuration
// was given up 6.5 s after it had been sent, so a version was in force up to 1.1 s later than its bound allows at all
// entries, whose watches begin at the same moment. Whatever the other entries do, a process has to follow the
// store again within three seconds (`contact_ms` of the users' platform).
const CONTACT_MS = 3_000;

const timer = SystemTimer.create();
const engine = SimulatedStoreEngine.create(timer);

let server: PlatformServer;
let proxy: TcpProxy;

beforeEach(async () => {
  server = PlatformServer.of(engine, kvRoutes);
  proxy = await TcpProxy.to(await server.listen('127.0.0.1', 0));
});

afterEach(async () => {
  proxy.close();
  await server.close();
});

/** Watches keys until the last value is "new"; returns when each value was received, by the timer. */
async function watch(store: PlatformStoreClient): Promise<ReadonlyMap<string, number>> {
  const stop = new AbortController();
  const receivedAt = new Map<string, number>();
  const log = { info: () => undefined, warn: () => undefined };
  const parts = { timer, log, random: Random.fromSeed(1), store, prefix: 'op/' };
  const onPut = (_key: string, value: string): void => {
    receivedAt.set(value, timer.now());
    if (value === 'new') stop.abort();
  };
  await PrefixWatcher.of({ ...parts, onPut }).run(stop.signal);
  return receivedAt;
}

test('a change is received in time though all open connections to the store are silent', async () => {
  const store = PlatformStoreClient.create(timer, proxy.address);
  await engine.put('op/config', 'old');
  // Other calls leave idle connections, on which a new watch would be as silent.
  await Promise.all(Array.from({ length: 4 }, () => store.list('entries/')));
  const watched = watch(store);
  await timer.sleep(300);
  const silentAt = timer.now();
  proxy.freeze();
  await timer.sleep(500);
  await engine.put('op/config', 'new');
  expect((await watched).get('new')! - silentAt).toBeLessThan(CONTACT_MS);
}, 20_000);

test('a store that is silent for a moment is followed again in time', async () => {
  const store = PlatformStoreClient.create(timer, proxy.address);
  await engine.put('op/config', 'old');
  const watched = watch(store);
  await timer.sleep(300);
  const fault = { alsoNew: true };
  proxy.freeze(fault);
  await timer.sleep(2_700);
  const backAt = timer.now();
  proxy.reset(fault);
  await engine.put('op/config', 'new');
  expect((await watched).get('new')! - backAt).toBeLessThan(CONTACT_MS);
}, 20_000);
