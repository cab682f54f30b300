import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';
import type ManualTimer from './ManualTimer';
import never from './never';

/**
 * A process of a simulated system: its timer service, and a gate for everything that comes from
 * outside. While it is paused none of its code runs; what became due or arrived meanwhile runs on
 * resumption, in order.
 */
export default class SimulatedProcess implements TimerService {
  private state: 'running' | 'paused' | 'dead' = 'running';

  private deferred: (() => void)[] = [];

  /** Resolves when the process is killed. */
  readonly death: Promise<undefined>;

  private die: () => void = () => undefined;

  private constructor(private readonly base: ManualTimer) {
    this.death = new Promise((resolve) => {
      this.die = () => resolve(undefined);
    });
  }

  /** Starts a process on the timer. */
  static start(base: ManualTimer): SimulatedProcess {
    return new SimulatedProcess(base);
  }

  get isAlive(): boolean {
    return this.state !== 'dead';
  }

  now(): number {
    return this.base.now();
  }

  wall(): number {
    return this.base.wall();
  }

  after(delayMs: number, handler: () => void): Subscription {
    let cancelled = false;
    const inner = this.base.after(delayMs, () => this.run(() => cancelled || handler()));
    const cancel = () => {
      cancelled = true;
      inner.cancel();
    };
    return { cancel };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    let current: Subscription;
    const again = () => {
      current = this.after(intervalMs, again);
      handler();
    };
    current = this.after(intervalMs, again);
    return { cancel: () => current.cancel() };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const subscription = this.after(delayMs, finish);
      function finish(): void {
        subscription.cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /** Pauses the process as a stop signal does. */
  pause(): void {
    if (this.state === 'running') this.state = 'paused';
  }

  /** Resumes it: deferred work runs now, in order. */
  resume(): void {
    if (this.state !== 'paused') return;
    this.state = 'running';
    const { deferred } = this;
    this.deferred = [];
    deferred.forEach((handler) => this.after(0, handler));
  }

  /** Kills it: none of its code runs any more. */
  kill(): void {
    this.state = 'dead';
    this.deferred = [];
    this.die();
  }

  /** Delivers a value from outside: resolves while the process runs, and never once it is dead. */
  async deliver<T>(value: PromiseLike<T>): Promise<T> {
    const got = await value;
    while (this.state === 'paused') {
      await new Promise<void>((resolve) => {
        this.deferred.push(resolve);
      });
    }
    return this.isAlive ? got : never();
  }

  private run(handler: () => void): void {
    if (this.state === 'running') handler();
    if (this.state === 'paused') this.deferred.push(handler);
  }
}
