import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { type Duplex, Transform } from 'node:stream';
import type TimerService from '../../src/core/TimerService';

/** Selects the connections, and their directions, that a fault affects. */
interface ConnectionFault {
  /** The sides whose bytes are no longer forwarded: `near` dialled the proxy, `far` is its target. Both by default. */
  readonly sides?: readonly Side[];
  /** Only connections dialled from this IP address; all by default. */
  readonly from?: string;
  /** Whether connections made while the fault lasts are affected too. */
  readonly alsoNew?: boolean;
}

type Side = 'near' | 'far';

/** One connection through the proxy. */
interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  /** The stream to which each side's bytes are piped. */
  readonly sinks: Readonly<Record<Side, Duplex>>;
  readonly from: string;
  readonly frozen: Map<ConnectionFault, readonly Side[]>;
}

/** A TCP proxy that counts connections and can delay, freeze, block, reset or break them. */
export default class TcpProxy {
  /** Number of connections accepted so far. */
  connectionCount = 0;

  /** Delay of each chunk of data, in milliseconds. */
  delayMs = 0;

  private readonly pairs = new Set<ProxiedConnection>();

  private readonly freezes = new Set<ConnectionFault>();

  private readonly blocks = new Set<ConnectionFault>();

  private readonly server: Server;

  private constructor(
    private readonly target: string,
    private readonly timer: TimerService | undefined,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts a proxy to `target` that listens on `address`, by default on a free port. `delayMs` has no effect without a timer. */
  static async to(
    target: string,
    address = '127.0.0.1:0',
    timer?: TimerService,
  ): Promise<TcpProxy> {
    const proxy = new TcpProxy(target, timer);
    const [host, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      proxy.server.once('error', reject);
      proxy.server.listen(Number(port), host, resolve);
    });
    return proxy;
  }

  /** The address on which the proxy listens, "ip:port". */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Stops forwarding bytes on existing connections but keeps them open. New ones work unless `alsoNew` is set. */
  freeze(fault: ConnectionFault = {}): void {
    if (fault.alsoNew) this.freezes.add(fault);
    this.pairs.forEach((pair) => this.apply(fault, pair));
  }

  /** Ends a freeze: its connections that are still open forward again, unless another freeze holds them. */
  thaw(fault: ConnectionFault): void {
    this.freezes.delete(fault);
    this.pairs.forEach((pair) => {
      const sides = pair.frozen.get(fault) ?? [];
      pair.frozen.delete(fault);
      const others = [...pair.frozen.values()].flat();
      sides.filter((side) => !others.includes(side)).forEach((side) => this.forward(pair, side));
    });
  }

  /** Resets the connections that this fault froze (by default, all frozen ones), like a host that has lost their state. */
  reset(fault?: ConnectionFault): void {
    if (fault) this.freezes.delete(fault);
    [...this.pairs]
      .filter(({ frozen }) => (fault ? frozen.has(fault) : frozen.size > 0))
      .forEach(({ near, far }) => [near, far].forEach((socket) => socket.resetAndDestroy()));
  }

  /** Closes all existing connections, or those dialled from the given IP address. */
  closeConnections(from?: string): void {
    [...this.pairs]
      .filter((pair) => from === undefined || pair.from === from)
      .forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
  }

  /** Closes the connections that the fault selects, and rejects new ones until the fault ends. */
  block(fault: ConnectionFault): void {
    this.blocks.add(fault);
    this.closeConnections(fault.from);
  }

  /** Ends a fault that rejects connections, so that new ones are accepted again. */
  unblock(fault: ConnectionFault): void {
    this.blocks.delete(fault);
  }

  /** Resolves when every connection has closed. */
  async whenIdle(): Promise<void> {
    const sockets = [...this.pairs].flatMap(({ near, far }) => [near, far]);
    await Promise.all(
      sockets.filter((socket) => !socket.closed).map((socket) => once(socket, 'close')),
    );
  }

  /** Closes the proxy and its connections. */
  close(): void {
    this.server.close();
    this.closeConnections();
  }

  private accept(near: Socket): void {
    this.connectionCount += 1;
    const from = near.remoteAddress ?? '';
    near.on('error', () => near.destroy());
    if ([...this.blocks].some((block) => affects(block, from))) {
      near.resetAndDestroy();
      return;
    }
    const { hostname, port } = new URL(`http://${this.target}`);
    const far = connect(Number(port), hostname);
    far.on('error', () => far.destroy());
    const sinks = { near: this.delayed(far), far: this.delayed(near) };
    const pair: ProxiedConnection = { near, far, sinks, from, frozen: new Map() };
    this.pairs.add(pair);
    BOTH_SIDES.forEach((side) => this.forward(pair, side));
    this.freezes.forEach((fault) => this.apply(fault, pair));
    near.once('close', () => far.destroy());
    far.once('close', () => near.destroy());
    [near, far].forEach((socket) =>
      socket.once('close', () => {
        if (near.closed && far.closed) this.pairs.delete(pair);
      }),
    );
  }

  private apply(fault: ConnectionFault, pair: ProxiedConnection): void {
    if (!affects(fault, pair.from)) return;
    const sides = fault.sides ?? BOTH_SIDES;
    pair.frozen.set(fault, sides);
    sides.forEach((side) => pair[side].unpipe().pause());
  }

  private forward(pair: ProxiedConnection, side: Side): void {
    pair[side].pipe(pair.sinks[side]);
  }

  /** A stream that forwards to the socket in order, each chunk after the current `delayMs`. */
  private delayed(socket: Socket): Duplex {
    const { timer } = this;
    if (!timer) return socket;
    const delayLine = new Transform({
      transform: (chunk, _encoding, done) => {
        if (this.delayMs > 0) timer.after(this.delayMs, () => done(null, chunk));
        else done(null, chunk);
      },
    });
    delayLine.pipe(socket);
    return delayLine;
  }
}

const BOTH_SIDES: readonly Side[] = ['near', 'far'];

function affects({ from }: ConnectionFault, dialler: string): boolean {
  return from === undefined || from === dialler;
}
