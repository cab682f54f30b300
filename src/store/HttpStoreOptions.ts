import type TimerService from '../core/TimerService';

/** How a process reaches the platform's key-value service. */
export default interface HttpStoreOptions {
  /** Base address, `http://ip:port`. */
  readonly url: string;
  /** The name under which the service counts this process's calls. */
  readonly client: string;
  readonly timer: TimerService;
  /** The highest rate of calls of this process, waiting watches included. */
  readonly callsPerSecond: number;
  /** How long a call may take; a watch may take its own wait besides. */
  readonly timeoutMs: number;
}
