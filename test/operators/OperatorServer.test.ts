import { request } from 'undici';
import { expect, test } from 'vitest';
import commonRoutes from '../../src/operators/commonRoutes';
import OperatorServer from '../../src/operators/OperatorServer';
import reachableAddress from '../../src/operators/reachableAddress';
import valueOf from '../support/valueOf';

test('serves health, readiness and metrics, and starts a drain', async () => {
  let ready = true;
  const server = OperatorServer.create(
    commonRoutes({
      isReady: () => ready,
      metrics: async () => 'tasks 1\n',
      drain: () => {
        ready = false;
      },
    }),
  );
  const address = valueOf(await server.listen('127.0.0.1:0'));
  const send = async (method: 'GET' | 'POST', path: string): Promise<string> => {
    const { statusCode, body } = await request(`http://${address}${path}`, { method });
    return `${statusCode} ${(await body.text()).trim()}`;
  };
  const answers = [
    await send('GET', '/healthz'),
    await send('GET', '/readyz'),
    await send('GET', '/metrics'),
    await send('GET', '/v1/drain'),
    await send('POST', '/v1/drain'),
    await send('GET', '/readyz'),
    await send('GET', '/metric'),
  ];
  await server.close();
  expect(answers).toMatchInlineSnapshot(`
    [
      "200 ok",
      "200 ready",
      "200 tasks 1",
      "405 {"reason":"/v1/drain takes POST"}",
      "202 {"leaving":true}",
      "503 not ready",
      "404 {"reason":"there is no path /metric"}",
    ]
  `);
});

test('an address that listens on all interfaces gets the advertised host', () => {
  const addresses = [
    reachableAddress('10.0.0.1:82'),
    reachableAddress('0.0.0.0:82', '10.0.0.1:81'),
    reachableAddress('[::]:82', '[fd00::1]:81'),
    reachableAddress('0.0.0.0:82'),
  ];
  expect(addresses).toMatchInlineSnapshot(`
    [
      "10.0.0.1:82",
      "10.0.0.1:82",
      "[fd00::1]:82",
      "",
    ]
  `);
});
