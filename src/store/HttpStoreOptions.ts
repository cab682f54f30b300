import type TimerService from '../core/TimerService';

/** How a process connects to the platform's key-value service. */
export default interface HttpStoreOptions {
  /** Base address, `http://ip:port`. */
  readonly url: string;
  /** The name under which the service counts this process's calls. */
  readonly client: string;
  readonly timer: TimerService;
  /** Highest rate of calls of this process, long-polling watches included. */
  readonly callsPerSecond: number;
  /** Time-out of a call, ms. That of a watch is its wait time and a second more, or this if it is less. */
  readonly timeoutMs: number;
}
