import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';

const EPOCH_MS = 1_700_000_000_000;

/** A timer service whose clock moves only by `advance`. */
export default class ManualTimer implements TimerService {
  private time = 0;

  private readonly pending = new Set<Pending>();

  now(): number {
    return this.time;
  }

  wall(): number {
    return EPOCH_MS + this.time;
  }

  after(delayMs: number, handler: () => void): Subscription {
    return this.add({ at: this.time + delayMs, handler });
  }

  every(intervalMs: number, handler: () => void): Subscription {
    return this.add({ at: this.time + intervalMs, handler, intervalMs });
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const wake = this.after(delayMs, finish);
      function finish(): void {
        wake.cancel();
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /** Moves the clock, running what falls due in order and everything that follows from it. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle();
    for (let next = this.next(end); next; next = this.next(end)) {
      this.time = Math.max(this.time, next.at);
      if (next.intervalMs === undefined) this.pending.delete(next);
      else next.at += next.intervalMs;
      next.handler();
      await settle();
    }
    this.time = end;
  }

  private add(entry: Pending): Subscription {
    this.pending.add(entry);
    return { cancel: () => this.pending.delete(entry) };
  }

  private next(end: number): Pending | undefined {
    const due = [...this.pending].filter(({ at }) => at <= end);
    return due.sort((a, b) => a.at - b.at)[0];
  }
}

interface Pending {
  at: number;
  readonly handler: () => void;
  readonly intervalMs?: number;
}

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
