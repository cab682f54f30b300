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

async function sendRequest(manifest: Manifest | undefined, method: 'POST' | 'PUT', path: string) {
  const server = CallerServer.create({
    ...{ limits, manifest: () => manifest, isLeaving: () => false },
    ...{ configurationVersion: () => 1n, waitForVersion: async () => true },
    timer: ManualTimer.create(),
    random: Random.fromSeed(1),
    onError: () => undefined,
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

test('an internal error while serving a request gets a response and does not end the process', async () => {
  const brokenManifest = {} as Manifest;
  expect(await sendRequest(brokenManifest, 'POST', 'requests')).toMatchInlineSnapshot(
    `"424 unknown 3"`,
  );
});

test('without a configuration only a request without an id is refused as not run', async () => {
  const responses = [
    await sendRequest(undefined, 'POST', 'requests'),
    await sendRequest(undefined, 'PUT', 'jobs/01a237f3-2c6e-76e4-8f67-9b15b8a451ea'),
  ];
  expect(responses).toMatchInlineSnapshot(`
    [
      "503 not-run 3",
      "424 unknown 3",
    ]
  `);
});
