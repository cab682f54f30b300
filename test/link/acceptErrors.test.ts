import http from 'node:http';
import net from 'node:net';
import { afterEach, expect, test, vi } from 'vitest';
import listen from '../../platform/listen';
import OperatorServer from '../../src/operators/OperatorServer';
import NetworkCase from '../support/NetworkCase';

const ANY = '127.0.0.1:0';

/** The error of a server that could not accept one connection: the machine's network failed, not the address. */
const failure = Object.assign(new Error('accept EHOSTUNREACH'), { code: 'EHOSTUNREACH' });

afterEach(() => vi.restoreAllMocks());

/** The servers that started to listen while `open` ran. */
async function serversOf(open: () => unknown): Promise<net.Server[]> {
  const listening = vi.spyOn(net.Server.prototype, 'listen');
  await open();
  return listening.mock.contexts as net.Server[];
}

// accept(2) returns network errors that concern one connection only, and Node emits each as an 'error' event
// of the listening server. The listener for that event was removed once the address was bound, so the first
// such error would have ended the process.
test.each([
  [
    'the address for other processes',
    () => NetworkCase.start(NetworkCase.implementations.connect!),
  ],
  ['the address for operators', () => OperatorServer.create([]).listen(ANY)],
  ['an address of the platform', () => listen(http.createServer(), ANY, () => undefined)],
])('a connection that cannot be accepted does not end the server at %s', async (_name, open) => {
  const servers = await serversOf(open);
  expect(servers).toHaveLength(1);
  servers.forEach((server) => {
    expect(() => [1, 2].forEach(() => server.emit('error', failure))).not.toThrow();
    server.close();
  });
});
