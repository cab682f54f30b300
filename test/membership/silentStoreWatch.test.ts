import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import Versioned from '../../src/core/Versioned';
import { ConfigurationSchema, ViewSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import StoreWatch from '../../src/membership/StoreWatch';
import HttpStore from '../../src/store/HttpStore';
import TcpProxy from '../../tools/harness/TcpProxy';
import PlatformServer from '../../tools/platform/PlatformServer';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';

/** How soon a configuration is in force at every process, ms; see docs/GUARANTEES.md. */
const IN_FORCE_WITHIN_MS = 4_000;

function manifest(version: number): string {
  return JSON.stringify({ version, applyId: `${version}`, manifest: {}, appliedAt: '' });
}

// The watch of the manifest lasted 30 s, and only the failure of another call ended it sooner. When its connection
// went silent and the other calls used newer ones, a configuration was in force half a minute late.
test('a configuration is adopted in time though the open connections to the store are silent', async () => {
  const timer = SystemTimer.create();
  const engine = SimulatedStoreEngine.create(timer);
  const server = PlatformServer.of(engine);
  const proxy = await TcpProxy.to(await server.listen('127.0.0.1', 0));
  const store = HttpStore.create({
    ...{ timer, url: `http://${proxy.address}`, client: 'e1' },
    ...{ callsPerSecond: 20, timeoutMs: 2_000 },
  });
  const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
  await engine.put('manifest', manifest(1));
  await Promise.all(Array.from({ length: 3 }, () => store.get('manifest')));
  const stop = new AbortController();
  const adopted: Record<string, number> = {};
  configurations.subscribe(({ version }) => {
    adopted[`${version}`] = timer.now();
  });
  const ended = StoreWatch.create({
    ...{ store, timer, configurations, random: Random.fromSeed(1) },
    views: Versioned.of(create(ViewSchema), ({ number }) => number),
    onLiveIncarnations: () => undefined,
  }).run(stop.signal);
  await timer.sleep(300);
  proxy.freeze();
  const appliedAt = timer.now();
  await engine.put('manifest', manifest(2));
  await timer.sleep(IN_FORCE_WITHIN_MS);
  stop.abort();
  await ended;
  await store.close();
  proxy.close();
  await server.close();
  expect(adopted['2']! - appliedAt).toBeLessThan(IN_FORCE_WITHIN_MS);
}, 20_000);
