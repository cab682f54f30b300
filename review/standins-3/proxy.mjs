// A proxy for the connections between the processes: it stands at the peer address that an entry advertises, and can
// cut the entry off from single diallers. What is on its way during a cut arrives when the cut is over.
import net from 'node:net';

/** Starts a proxy at "ip:port" in front of the same port of `realIp`. */
export default async function startProxy(ip, port, realIp) {
  const pairs = new Set();
  const cutOff = new Set();

  const update = (pair) => {
    const isCut = cutOff.has(pair.dialler);
    [pair.near, pair.far].forEach((socket) => (isCut ? socket.pause() : socket.resume()));
  };
  const server = net.createServer((near) => {
    const far = net.connect({ host: realIp, port });
    const pair = { near, far, dialler: near.remoteAddress };
    pairs.add(pair);
    const join = (from, to) => {
      from.on('data', (chunk) => to.write(chunk));
      from.on('end', () => to.end());
      from.on('error', () => to.destroy());
      from.on('close', () => {
        pairs.delete(pair);
        if (from.errored) to.resetAndDestroy();
        else to.end();
      });
    };
    join(near, far);
    join(far, near);
    update(pair);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return {
    /** Cuts off what this dialler, an IP address, has opened and opens. */
    cut(dialler) {
      cutOff.add(dialler);
      pairs.forEach(update);
    },
    heal(dialler) {
      cutOff.delete(dialler);
      pairs.forEach(update);
    },
    close() {
      pairs.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
      server.close();
    },
  };
}
