import { vi } from 'vitest';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import ManualTimer from './ManualTimer';
import NetworkCase from './NetworkCase';
import TcpProxy from '../../tools/harness/TcpProxy';
import UncaughtErrors from './UncaughtErrors';

type Handlers = Parameters<typeof NetworkCase.start>[1];

/**
 * A process that reaches another through a TCP proxy. Its clocks are advanced by the test, both the timer service
 * and the timers that the RPC library uses for pings, and uncaught errors are collected.
 */
export default class ProxiedCase {
  readonly uncaught = UncaughtErrors.collect();

  private constructor(
    readonly far: NetworkCase,
    readonly proxy: TcpProxy,
    readonly timer: ManualTimer,
    readonly near: ConnectNetwork,
  ) {}

  /** Starts both processes; the handlers are those of the far one. */
  static async open(handlers: Handlers = {}): Promise<ProxiedCase> {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'Date'] });
    const far = await NetworkCase.start(NetworkCase.implementations.connect!, handlers);
    const proxy = await TcpProxy.to(far.listener.address);
    const timer = ManualTimer.create();
    return new ProxiedCase(far, proxy, timer, ConnectNetwork.create(timer));
  }

  /** The address of the proxy, through which the far process is reached. */
  get address(): string {
    return this.proxy.address;
  }

  /** Runs enough turns of the event loop for all pending loopback traffic to be handled. */
  async settle(): Promise<void> {
    await ManualTimer.settle(SETTLE_TURNS);
  }

  /** Advances all clocks. */
  async advance(ms: number): Promise<void> {
    await Promise.all([vi.advanceTimersByTimeAsync(ms), this.timer.advance(ms)]);
    await this.settle();
  }

  /** Stops both processes and restores the real clocks. */
  async close(): Promise<void> {
    this.uncaught.release();
    vi.useRealTimers();
    this.near.close();
    this.proxy.close();
    await this.far.stop();
  }
}

const SETTLE_TURNS = 200;
