import type TimerService from '../core/TimerService';
import type BackendRunFailure from './BackendRunFailure';

/**
 * Whether a life of a backend server is still there, by what calls to it have shown.
 * `clearing`: what an earlier sidecar left running is being stopped. `open`: it answers.
 * `silent`: it has not answered for a while, and its lease is not renewed. `over`: it is gone.
 */
export default class BackendPresence {
  state: 'clearing' | 'open' | 'silent' | 'over' = 'clearing';

  private refusedConnections = 0;

  private answeredAt: number;

  private constructor(
    private readonly timer: TimerService,
    private readonly ended: (reason: string) => void,
  ) {
    this.answeredAt = timer.now();
  }

  /** Starts before the first call; `ended` is told once, when the life is known to be over. */
  static create(timer: TimerService, ended: (reason: string) => void): BackendPresence {
    return new BackendPresence(timer, ended);
  }

  /** Whether the life is known to be over. */
  get isOver(): boolean {
    return this.state === 'over';
  }

  /** Time since a call was answered, ms. */
  get silentMs(): number {
    return this.timer.now() - this.answeredAt;
  }

  /** A call was answered. */
  answered(): void {
    this.refusedConnections = 0;
    this.answeredAt = this.timer.now();
  }

  /** Whether a failure shows that this life has ended; then it is ended here too. */
  isEndedBy(failure: BackendRunFailure): boolean {
    if (this.isOver) return true;
    if (failure.kind === 'replaced') {
      this.end(failure.reason);
      return true;
    }
    if (failure.kind !== 'closed') return false;
    this.refusedConnections += 1;
    if (this.refusedConnections < CLOSED_IS_GONE) return false;
    this.end(failure.reason);
    return true;
  }

  /** The life is over. */
  end(reason: string): void {
    if (this.isOver) return;
    this.state = 'over';
    this.ended(reason);
  }
}

/** Connections refused in a row by which nothing listens there any more: one could be a restart's gap. */
const CLOSED_IS_GONE = 2;
