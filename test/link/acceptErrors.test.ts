import http from 'node:http';
import net from 'node:net';
import { afterEach, expect, test, vi } from 'vitest';
import listen from '../../platform/listen';
import OperatorServer from '../../src/operators/OperatorServer';
import NetworkCase from '../support/NetworkCase';

const ANY = '127.0.0.1:0';

/** What a server says when one connection could not be accepted: the machine's network, not the address, failed. */
const failure = Object.assign(new Error('accept EHOSTUNREACH'), { code: 'EHOSTUNREACH' });

afterEach(() => vi.restoreAllMocks());

/** The servers that were made to listen while `open` ran. */
async function serversOf(open: () => unknown): Promise<net.Server[]> {
  const listening = vi.spyOn(net.Server.prototype, 'listen');
  await open();
  return listening.mock.contexts as net.Server[];
}

// accept(2) passes on errors of the network that concern one connection, and Node emits each as 'error' of
// the server that listens. The listener for it was taken off once the address was open, so the first such
// error would have ended the process.
test.each([
  [
    'the address for other processes',
    () => NetworkCase.start(NetworkCase.implementations.connect!),
  ],
  ['the address for operators', () => OperatorServer.create([]).listen(ANY)],
  ['an address of the platform', () => listen(http.createServer(), ANY, () => undefined)],
])('a connection that cannot be accepted ends nothing else at %s', async (_name, open) => {
  const servers = await serversOf(open);
  expect(servers).toHaveLength(1);
  servers.forEach((server) => {
    expect(() => [1, 2].forEach(() => server.emit('error', failure))).not.toThrow();
    server.close();
  });
});
