import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { type Duplex, Transform } from 'node:stream';
import type TimerService from '../../src/core/TimerService';

/** Which connections a fault is for. */
interface Fault {
  /** The sides whose bytes are passed on no more: `near` dialled, `far` was dialled. Both when left out. */
  readonly sides?: readonly Side[];
  /** Only connections dialled from this IP address; all when left out. */
  readonly from?: string;
  /** Also the connections that are made until the fault ends. */
  readonly alsoNew?: boolean;
}

type Side = 'near' | 'far';

/** One connection through the proxy. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** What each side's bytes are passed to. */
  readonly onto: Readonly<Record<Side, Duplex>>;
  readonly from: string;
  readonly frozen: Map<Fault, readonly Side[]>;
}

/** Stands between processes on TCP: counts their connections and can delay, freeze, cut or break them. */
export default class TcpProxy {
  /** How many connections were made so far. */
  connections = 0;

  /** How long each piece of data is held up, ms. */
  delayMs = 0;

  private readonly pairs = new Set<Pair>();

  private readonly faults = new Set<Fault>();

  private readonly cuts = new Set<Fault>();

  private readonly server: Server;

  private constructor(
    private readonly target: string,
    private readonly timer: TimerService | undefined,
  ) {
    this.server = createServer((socket) => this.join(socket));
  }

  /** Starts a proxy to the address, at a free port unless one is given; delays need a timer. */
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

  /** Where the proxy listens. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Passes no more bytes of the connections there are, and keeps them. New ones work unless named. */
  freeze(fault: Fault = {}): void {
    if (fault.alsoNew) this.faults.add(fault);
    this.pairs.forEach((pair) => this.apply(fault, pair));
  }

  /** What one fault held back goes on, on connections that are still there. */
  thaw(fault: Fault): void {
    this.faults.delete(fault);
    this.pairs.forEach((pair) => {
      const sides = pair.frozen.get(fault) ?? [];
      pair.frozen.delete(fault);
      const others = [...pair.frozen.values()].flat();
      sides.filter((side) => !others.includes(side)).forEach((side) => this.pass(pair, side));
    });
  }

  /** Resets the connections that this fault froze, or any did, as a host does that has forgotten them. */
  reset(fault?: Fault): void {
    if (fault) this.faults.delete(fault);
    [...this.pairs]
      .filter(({ frozen }) => (fault ? frozen.has(fault) : frozen.size > 0))
      .forEach(({ near, far }) => [near, far].forEach((socket) => socket.resetAndDestroy()));
  }

  /** Breaks the connections there are. */
  break(from?: string): void {
    [...this.pairs]
      .filter((pair) => from === undefined || pair.from === from)
      .forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
  }

  /** Breaks connections and makes none until they are mended. */
  cut(fault: Fault): void {
    this.cuts.add(fault);
    this.break(fault.from);
  }

  /** Makes connections again. */
  mend(fault: Fault): void {
    this.cuts.delete(fault);
  }

  /** Resolves when every connection has ended. */
  async idle(): Promise<void> {
    const sockets = [...this.pairs].flatMap(({ near, far }) => [near, far]);
    await Promise.all(
      sockets.filter((socket) => !socket.closed).map((socket) => once(socket, 'close')),
    );
  }

  /** Ends the proxy and its connections. */
  close(): void {
    this.server.close();
    this.break();
  }

  private join(near: Socket): void {
    this.connections += 1;
    const from = near.remoteAddress ?? '';
    near.on('error', () => near.destroy());
    if ([...this.cuts].some((cut) => concerns(cut, from))) {
      near.resetAndDestroy();
      return;
    }
    const { hostname, port } = new URL(`http://${this.target}`);
    const far = connect(Number(port), hostname);
    far.on('error', () => far.destroy());
    const onto = { near: this.delayed(far), far: this.delayed(near) };
    const pair: Pair = { near, far, onto, from, frozen: new Map() };
    this.pairs.add(pair);
    BOTH.forEach((side) => this.pass(pair, side));
    this.faults.forEach((fault) => this.apply(fault, pair));
    near.once('close', () => far.destroy());
    far.once('close', () => near.destroy());
    [near, far].forEach((socket) =>
      socket.once('close', () => {
        if (near.closed && far.closed) this.pairs.delete(pair);
      }),
    );
  }

  private apply(fault: Fault, pair: Pair): void {
    if (!concerns(fault, pair.from)) return;
    const sides = fault.sides ?? BOTH;
    pair.frozen.set(fault, sides);
    sides.forEach((side) => pair[side].unpipe().pause());
  }

  private pass(pair: Pair, side: Side): void {
    pair[side].pipe(pair.onto[side]);
  }

  /** What passes on to the socket after the delay in force, in order. */
  private delayed(socket: Socket): Duplex {
    const { timer } = this;
    if (!timer) return socket;
    const line = new Transform({
      transform: (chunk, _encoding, done) => {
        if (this.delayMs > 0) timer.after(this.delayMs, () => done(null, chunk));
        else done(null, chunk);
      },
    });
    line.pipe(socket);
    return line;
  }
}

const BOTH: readonly Side[] = ['near', 'far'];

function concerns({ from }: Fault, dialler: string): boolean {
  return from === undefined || from === dialler;
}
