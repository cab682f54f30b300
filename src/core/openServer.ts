import type { ListenOptions, Server } from 'node:net';

/**
 * Opens a server at an address; rejects with the reason when that cannot be had. `failed` is told of each
 * connection that could not be accepted later, which concerns none of those there are: an error for
 * which nothing listens would end the process.
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
