import type Subscription from './Subscription';

/**
 * The only source of time. All waits, expiries and periodic work use it, so that
 * a test can stop the clock and advance it manually.
 */
export default interface TimerService {
  /** Monotonic time in milliseconds, for intervals. */
  now(): number;

  /** Wall-clock time in milliseconds since the epoch, for values that other machines read. */
  wall(): number;

  /** Calls the handler once, after the delay. */
  after(delayMs: number, handler: () => void): Subscription;

  /** Calls the handler periodically, the first time after one interval. */
  every(intervalMs: number, handler: () => void): Subscription;

  /** Resolves after the delay, or at once when the signal aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
