import type TimerService from '../core/TimerService';
import type BackendRunFailure from './BackendRunFailure';
import type IncarnationEnd from './IncarnationEnd';

interface LivenessHandlers {
  /** Called once, when the incarnation is known to have ended. */
  readonly onEnded: (reason: string, how: IncarnationEnd) => void;
  /** Called when it becomes unresponsive, and when it no longer is. */
  readonly onResponsivenessChange: () => void;
}

/**
 * Whether an incarnation of a backend server is still there, judged by the calls to it. `clearing`: what an
 * earlier sidecar left running is being stopped. `open`: it answers. `silent`: it has not answered for a while,
 * and its lease is not renewed. `over`: it is gone.
 */
export default class BackendLiveness {
  state: 'clearing' | 'open' | 'silent' | 'over' = 'clearing';

  private refusedConnections = 0;

  private unansweredCalls = 0;

  private answeredAt: number;

  private constructor(
    private readonly timer: TimerService,
    private readonly handlers: LivenessHandlers,
  ) {
    this.answeredAt = timer.now();
  }

  /** Create it before the first call. */
  static create(timer: TimerService, handlers: LivenessHandlers): BackendLiveness {
    return new BackendLiveness(timer, handlers);
  }

  /** Whether the incarnation is known to have ended. */
  get isEnded(): boolean {
    return this.state === 'over';
  }

  /**
   * Whether the latest calls were not answered; nothing new is started there until one is. This reacts to a
   * backend server that has just become unreachable, long before its state is `silent`: each task sent there
   * would be late, and a batch is as late as its last task.
   */
  get isUnresponsive(): boolean {
    return this.unansweredCalls >= UNRESPONSIVE_AFTER_CALLS;
  }

  /** Time since a call was answered, ms. */
  get silentMs(): number {
    return this.timer.now() - this.answeredAt;
  }

  /** A call was answered. */
  recordAnswer(): void {
    const wasUnresponsive = this.isUnresponsive;
    this.refusedConnections = 0;
    this.unansweredCalls = 0;
    this.answeredAt = this.timer.now();
    if (wasUnresponsive) this.handlers.onResponsivenessChange();
  }

  /** Records a failed call; returns whether this incarnation has ended, which it does if the failure proves it. */
  endsWithFailure(failure: BackendRunFailure): boolean {
    if (this.isEnded) return true;
    if (failure.kind === 'replaced' || failure.kind === 'reborn') {
      this.end(failure.reason, failure.kind);
      return true;
    }
    if (failure.kind === 'unanswered') this.recordUnanswered();
    if (failure.kind !== 'closed') return false;
    this.refusedConnections += 1;
    if (this.refusedConnections < GONE_AFTER_REFUSED_CONNECTIONS) return false;
    this.end(failure.reason, 'gone');
    return true;
  }

  /** Ends the incarnation. */
  end(reason: string, how: IncarnationEnd): void {
    if (this.isEnded) return;
    this.state = 'over';
    this.handlers.onEnded(reason, how);
  }

  private recordUnanswered(): void {
    this.unansweredCalls += 1;
    if (this.unansweredCalls === UNRESPONSIVE_AFTER_CALLS) this.handlers.onResponsivenessChange();
  }
}

/** Unanswered calls in a row after which nothing new is started on a backend server: a single answer may be lost. */
const UNRESPONSIVE_AFTER_CALLS = 2;

/**
 * Refused connections in a row after which the backend server is gone: a single one could be a gap during a restart.
 */
const GONE_AFTER_REFUSED_CONNECTIONS = 2;
