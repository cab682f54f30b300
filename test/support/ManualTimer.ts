import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';

const WALL_START = Date.UTC(2025, 0, 1);
const SETTLE_ROUNDS = 4;

interface ScheduledCall {
  readonly at: number;
  readonly order: number;
  readonly handler: () => void;
}

/** A timer service whose clock moves only when a test advances it. */
export default class ManualTimer implements TimerService {
  private nowMs = 0;

  private wallStepMs = 0;

  private scheduledCount = 0;

  private readonly scheduled = new Set<ScheduledCall>();

  private constructor(private readonly rounds: number) {}

  /** Creates a timer service at time 0; one settling round suffices if all waits are promise jobs. */
  static create(rounds = SETTLE_ROUNDS): ManualTimer {
    return new ManualTimer(rounds);
  }

  /** Whether any call is scheduled. */
  get hasScheduledCalls(): boolean {
    return this.scheduled.size > 0;
  }

  now(): number {
    return this.nowMs;
  }

  wall(): number {
    return WALL_START + Math.floor(this.nowMs) + this.wallStepMs;
  }

  /** Moves the wall clock forward, or back if negative, without moving the monotonic time. */
  stepWall(ms: number): void {
    this.wallStepMs += ms;
  }

  after(delayMs: number, handler: () => void): Subscription {
    this.scheduledCount += 1;
    const call = { at: this.nowMs + Math.max(0, delayMs), order: this.scheduledCount, handler };
    this.scheduled.add(call);
    return { cancel: () => this.scheduled.delete(call) };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    const stop = new AbortController();
    const fire = () => {
      if (stop.signal.aborted) return;
      this.after(intervalMs, fire);
      handler();
    };
    this.after(intervalMs, fire);
    return { cancel: () => stop.abort() };
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

  /** Advances the time and runs the calls that become due, in their order; promise jobs settle after each of them. */
  async advance(ms: number): Promise<void> {
    const target = this.nowMs + ms;
    await ManualTimer.settle(this.rounds);
    for (let nextCall = this.nextDue(target); nextCall; nextCall = this.nextDue(target)) {
      this.scheduled.delete(nextCall);
      this.nowMs = Math.max(this.nowMs, nextCall.at);
      nextCall.handler();
      await ManualTimer.settle(this.rounds);
    }
    this.nowMs = target;
  }

  /** Moves the time without running any call, as if this process had been paused for so long. */
  jump(ms: number): void {
    this.nowMs += ms;
  }

  /** Runs pending promise jobs and ready callbacks of the event loop, without moving the time. */
  static async settle(rounds = SETTLE_ROUNDS): Promise<void> {
    for (let round = 0; round < rounds; round += 1) {
      await new Promise<void>((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private nextDue(target: number): ScheduledCall | undefined {
    let first: ScheduledCall | undefined;
    this.scheduled.forEach((call) => {
      if (call.at <= target && (!first || isBefore(call, first))) first = call;
    });
    return first;
  }
}

function isBefore(one: ScheduledCall, other: ScheduledCall): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order);
}
