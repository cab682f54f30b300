import type Subscription from './Subscription';
import type TimerService from './TimerService';

/**
 * Measures the event-loop lag of this process: by how much a periodic timer is overdue, now or when it was
 * last called. Every message that arrives waits as long, since the process handles one thing at a time.
 */
export default class EventLoopLag {
  private dueAt: number;

  /** Delay of the timer's last call and of the one before it, ms. */
  private lastDelayMs = 0;

  private previousDelayMs = 0;

  private readonly subscription: Subscription;

  private constructor(private readonly timer: TimerService) {
    this.dueAt = timer.now() + CHECK_INTERVAL_MS;
    this.subscription = timer.every(CHECK_INTERVAL_MS, () => this.tick());
  }

  /** Starts the measurement. */
  static start(timer: TimerService): EventLoopLag {
    return new EventLoopLag(timer);
  }

  /**
   * The current event-loop lag, ms. A single long turn of the event loop, such as reading a configuration,
   * adds one interval at most, since it does not mean that the process is overloaded.
   */
  get currentMs(): number {
    const delayMs = Math.max(this.lastDelayMs, this.timer.now() - this.dueAt);
    return Math.min(delayMs, this.previousDelayMs + CHECK_INTERVAL_MS);
  }

  /** Stops the measurement. */
  stop(): void {
    this.subscription.cancel();
  }

  private tick(): void {
    const now = this.timer.now();
    this.previousDelayMs = this.lastDelayMs;
    this.lastDelayMs = Math.max(0, now - this.dueAt);
    this.dueAt = now + CHECK_INTERVAL_MS;
  }
}

/** Interval of the timer, ms: a shorter lag may go unnoticed, and each call wakes the process. */
const CHECK_INTERVAL_MS = 100;
