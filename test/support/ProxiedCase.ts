import { vi } from 'vitest';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import ManualTimer from './ManualTimer';
import NetworkCase from './NetworkCase';
import TcpProxy from '../../tools/harness/TcpProxy';
import Uncaught from './Uncaught';

type Handlers = Parameters<typeof NetworkCase.start>[1];

/**
 * A process that reaches another through a proxy. Its clocks are moved by hand, the product's and those
 * that the library takes its pings from, and errors that reach nobody are collected.
 */
export default class ProxiedCase {
  readonly uncaught = Uncaught.collect();

  private constructor(
    readonly far: NetworkCase,
    readonly proxy: TcpProxy,
    readonly timer: ManualTimer,
    readonly near: ConnectNetwork,
  ) {}

  /** Starts both; the handlers are those of the far one. */
  static async open(handlers: Handlers = {}): Promise<ProxiedCase> {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'Date'] });
    const far = await NetworkCase.start(NetworkCase.implementations.connect!, handlers);
    const proxy = await TcpProxy.to(far.listener.address);
    const timer = ManualTimer.create();
    return new ProxiedCase(far, proxy, timer, ConnectNetwork.create(timer));
  }

  /** The address at which the far process is reached. */
  get address(): string {
    return this.proxy.address;
  }

  /** Has the event loop turn until nothing is left to be done on loopback. */
  async settle(): Promise<void> {
    await ManualTimer.settle(TURNS);
  }

  /** Moves all clocks on. */
  async advance(ms: number): Promise<void> {
    await Promise.all([vi.advanceTimersByTimeAsync(ms), this.timer.advance(ms)]);
    await this.settle();
  }

  /** Ends both and gives the clocks back. */
  async close(): Promise<void> {
    this.uncaught.release();
    vi.useRealTimers();
    this.near.close();
    this.proxy.close();
    await this.far.stop();
  }
}

const TURNS = 200;
