import type { ListenOptions, Server } from 'node:net';

/**
 * Makes a server listen at an address; rejects with the error if that fails. `failed` is called for each
 * connection that cannot be accepted later. Such an error does not affect the open connections, but
 * would end the process if it had no listener.
 */
export default function openServer(
  server: Server,
  place: ListenOptions,
  failed: (error: Error) => void,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(place, () => {
      server.off('error', reject);
      server.on('error', failed);
      resolve();
    });
  });
}
