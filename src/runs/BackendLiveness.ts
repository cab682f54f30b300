import type TimerService from '../core/TimerService';
import type BackendRunFailure from './BackendRunFailure';
import type IncarnationEnd from './IncarnationEnd';

interface LivenessHandlers {
  /** Told once, when the life is known to be over. */
  readonly onEnded: (reason: string, how: IncarnationEnd) => void;
  /** Told when it comes to be doubted, and when it no longer is. */
  readonly onResponsivenessChange: () => void;
}

/**
 * Whether a life of a backend server is still there, by what calls to it have shown.
 * `clearing`: what an earlier sidecar left running is being stopped. `open`: it answers.
 * `silent`: it has not answered for a while, and its lease is not renewed. `over`: it is gone.
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

  /** Starts before the first call. */
  static create(timer: TimerService, told: LivenessHandlers): BackendLiveness {
    return new BackendLiveness(timer, told);
  }

  /** Whether the life is known to be over. */
  get isEnded(): boolean {
    return this.state === 'over';
  }

  /**
   * Whether the newest calls were not answered, so that it gets nothing new before it answers one. It
   * answers a backend server that has just gone dark: each task sent there would be late, and a batch is
   * as late as its last task. It comes long before the backend server counts as silent.
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
    const wasDoubted = this.isUnresponsive;
    this.refusedConnections = 0;
    this.unansweredCalls = 0;
    this.answeredAt = this.timer.now();
    if (wasDoubted) this.handlers.onResponsivenessChange();
  }

  /** Whether a failure shows that this life has ended; then it is ended here too. */
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

  /** The life is over. */
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

/** Calls in a row without an answer after which a backend server gets nothing new: one may be lost. */
const UNRESPONSIVE_AFTER_CALLS = 2;

/** Connections refused in a row by which nothing listens there any more: one could be a restart's gap. */
const GONE_AFTER_REFUSED_CONNECTIONS = 2;
