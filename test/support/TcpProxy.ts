import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

/** Stands between two processes on TCP: counts their connections and can freeze or break them. */
export default class TcpProxy {
  /** How many connections were made so far. */
  connections = 0;

  private readonly sockets = new Set<Socket>();

  private readonly frozen = new Set<Socket>();

  private readonly server: Server;

  private constructor(private readonly target: string) {
    this.server = createServer((socket) => this.join(socket));
  }

  /** Starts a proxy to the address. */
  static async to(target: string): Promise<TcpProxy> {
    const proxy = new TcpProxy(target);
    await new Promise<void>((resolve) => {
      proxy.server.listen(0, '127.0.0.1', resolve);
    });
    return proxy;
  }

  /** Where the proxy listens. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Passes no more bytes of the connections there are, and keeps them. New ones work. */
  freeze(): void {
    this.sockets.forEach((socket) => this.frozen.add(socket.unpipe().pause()));
  }

  /** Resets the frozen connections, as a host does that has forgotten them. */
  reset(): void {
    this.frozen.forEach((socket) => socket.resetAndDestroy());
  }

  /** Breaks the connections there are. */
  break(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Resolves when every connection has ended. */
  async idle(): Promise<void> {
    await Promise.all([...this.sockets].map((socket) => once(socket, 'close')));
  }

  /** Ends the proxy and its connections. */
  close(): void {
    this.server.close();
    this.break();
  }

  private join(near: Socket): void {
    this.connections += 1;
    const { hostname, port } = new URL(`http://${this.target}`);
    const far = connect(Number(port), hostname);
    near.pipe(far).pipe(near);
    near.once('close', () => far.destroy());
    far.once('close', () => near.destroy());
    [near, far].forEach((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.once('close', () => [this.sockets, this.frozen].forEach((all) => all.delete(socket)));
    });
  }
}
