import type Subscription from './Subscription';

/**
 * The one source of time. Every part that waits, expires or repeats subscribes
 * here, so that a test can hold the clock still and move it by hand.
 */
export default interface TimerService {
  /** Monotonic time in milliseconds, for intervals. */
  now(): number;

  /** Wall-clock time in milliseconds since the epoch, for what other machines read. */
  wall(): number;

  /** Calls the handler once, after the delay. */
  after(delayMs: number, handler: () => void): Subscription;

  /** Calls the handler again and again at the interval, the first time after one interval. */
  every(intervalMs: number, handler: () => void): Subscription;

  /** Resolves after the delay, or at once when the signal aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}
