import type Subscription from './Subscription';
import type TimerService from './TimerService';

/** The timer service of a running process: Node's own timers and clocks. */
export default class SystemTimer implements TimerService {
  private constructor() {}

  /** Creates the timer service for a process. */
  static create(): SystemTimer {
    return new SystemTimer();
  }

  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  after(delayMs: number, handler: () => void): Subscription {
    const timeout = setTimeout(handler, delayMs);
    return { cancel: () => clearTimeout(timeout) };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    const interval = setInterval(handler, intervalMs);
    return { cancel: () => clearInterval(interval) };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const timeout = setTimeout(finish, delayMs);
      function finish(): void {
        clearTimeout(timeout);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }
}
