import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';

/**
 * The share of a processor that a simulated process has. Its work takes processor time and runs
 * sequentially, so a process with more work than it can do lags behind. Its timers wait their turn
 * too.
 */
export default class SimulatedCpu implements TimerService {
  private freeAt = 0;

  private constructor(
    private readonly base: TimerService,
    private readonly share: number,
  ) {}

  /** Creates an idle processor; a share of 1 is a whole core. */
  static of(base: TimerService, share: number): SimulatedCpu {
    return new SimulatedCpu(base, share);
  }

  /** Runs an action that takes this much processor time, ms, after all earlier ones. */
  run(costMs: number, action: () => void): void {
    this.charge(costMs);
    this.base.after(this.freeAt - this.now(), action);
  }

  /** Adds processor time to the current work, ms. */
  charge(costMs: number): void {
    this.freeAt = Math.max(this.now(), this.freeAt) + costMs / this.share;
  }

  now(): number {
    return this.base.now();
  }

  wall(): number {
    return this.base.wall();
  }

  after(delayMs: number, handler: () => void): Subscription {
    let isCancelled = false;
    const due = this.base.after(delayMs, () => this.run(0, () => isCancelled || handler()));
    const cancel = (): void => {
      isCancelled = true;
      due.cancel();
    };
    return { cancel };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    let next: Subscription;
    const again = (): void => {
      next = this.after(intervalMs, again);
      handler();
    };
    next = this.after(intervalMs, again);
    return { cancel: () => next.cancel() };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return this.base.sleep(delayMs, signal);
  }
}
