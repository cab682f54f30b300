import { afterEach, expect, test } from 'vitest';
import { request } from 'undici';
import CallerServer from '../../src/callers/CallerServer';
import Random from '../../src/core/Random';
import type Manifest from '../../src/settings/Manifest';
import ManualTimer from '../support/ManualTimer';
import valueOf from '../support/valueOf';

const limits = {
  ...{ connections: 10, headerBytes: 16_384, headerTimeoutMs: 5000 },
  ...{ bodyTimeoutMs: 5000, bodyBytes: 65_536, openBodyBytes: 65_536, recordBytes: 0 },
};
const servers: CallerServer[] = [];

afterEach(async () => {
  await Promise.all(servers.splice(0).map((server) => server.close(0)));
});

async function ask(manifest: Manifest | undefined, method: 'POST' | 'PUT', path: string) {
  const server = CallerServer.create({
    ...{ limits, manifest: () => manifest, isLeaving: () => false },
    timer: ManualTimer.create(),
    random: Random.fromSeed(1),
    failed: () => undefined,
    submit: () => Promise.reject(new Error('not reached')),
  });
  servers.push(server);
  const address = valueOf(await server.listen('127.0.0.1:0'));
  const res = await request(`http://${address}/v1/services/booking/${path}`, {
    method,
    headers: { connection: 'close' },
  });
  const { outcome } = (await res.body.json()) as { outcome: string };
  return `${res.statusCode} ${outcome} ${res.headers['retry-after']}`;
}

test('a fault met on one request is answered and does not end the process', async () => {
  const broken = {} as Manifest;
  expect(await ask(broken, 'POST', 'requests')).toMatchInlineSnapshot(`"424 unknown 3"`);
});

test('without a configuration only a request without an id is called not run', async () => {
  const asked = [
    await ask(undefined, 'POST', 'requests'),
    await ask(undefined, 'PUT', 'jobs/01a237f3-2c6e-76e4-8f67-9b15b8a451ea'),
  ];
  expect(asked).toMatchInlineSnapshot(`
    [
      "503 not-run 3",
      "424 unknown 3",
    ]
  `);
});
