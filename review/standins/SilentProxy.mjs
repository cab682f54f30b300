// A TCP proxy whose open connections can go silent: they stay open and pass nothing any more, while new ones work.
import { connect, createServer } from 'node:net';

export default class SilentProxy {
  constructor(target) {
    this.target = target;
    this.pairs = new Set();
    /** The pairs of connections that pass nothing any more. */
    this.silent = new WeakSet();
    this.server = createServer((near) => this.accept(near));
  }

  /** Listens on "ip:port"; resolves to the address. */
  async listen(ip, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    return `${ip}:${port}`;
  }

  /** Silences the connections that are open now, both ways; returns their number. */
  silence() {
    this.pairs.forEach((pair) => this.silent.add(pair));
    return this.pairs.size;
  }

  close() {
    this.server.close();
    this.pairs.forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
  }

  accept(near) {
    const [host, port] = this.target.split(':');
    const far = connect(Number(port), host);
    const pair = { near, far };
    this.pairs.add(pair);
    [
      [near, far],
      [far, near],
    ].forEach(([from, to]) => {
      from.on('data', (data) => {
        if (!this.silent.has(pair)) to.write(data);
      });
      from.on('error', () => from.destroy());
      from.on('close', () => {
        // The end of a silent connection reaches the other side no more than its data does.
        if (!this.silent.has(pair)) to.destroy();
        if (near.destroyed && far.destroyed) this.pairs.delete(pair);
      });
    });
  }
}
