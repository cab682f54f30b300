import type TimerService from '../core/TimerService';
import type EventLog from './EventLog';

/** Failed dials of one address since it was last reached. */
interface FailedDials {
  readonly firstFailedAt: number;
  readonly tries: number;
  /** The reason that was logged last, and when. */
  readonly reason: string;
  readonly loggedAt: number;
}

/**
 * Logs why an address cannot be reached: on the first failure, when the reason changes, and once it is
 * reached again, with the number of tries and the duration. Single tries are not logged, since there
 * are two a second.
 */
export default class DialLog {
  private readonly failing = new Map<string, FailedDials>();

  private constructor(
    private readonly timer: TimerService,
    private readonly log: EventLog,
  ) {}

  /** Creates a log without failed dials. */
  static to(timer: TimerService, log: EventLog): DialLog {
    return new DialLog(timer, log);
  }

  /** Records the result of a dial: the reason of its failure, or undefined for success. */
  logDial(address: string, reason: string | undefined): void {
    if (reason === undefined) this.reached(address);
    else this.failed(address, reason);
  }

  private reached(address: string): void {
    const failing = this.failing.get(address);
    if (!failing) return;
    this.failing.delete(address);
    this.log.info('an address is reached again', { address, ...this.fieldsOf(failing) });
  }

  private failed(address: string, reason: string): void {
    const now = this.timer.now();
    const previous = this.failing.get(address) ?? {
      firstFailedAt: now,
      tries: 0,
      reason: '',
      loggedAt: -Infinity,
    };
    const failing = { ...previous, tries: previous.tries + 1 };
    const isNewReason =
      reason !== previous.reason && now - previous.loggedAt >= MIN_LINE_INTERVAL_MS;
    this.failing.set(address, isNewReason ? { ...failing, reason, loggedAt: now } : failing);
    if (this.failing.size > MAX_ADDRESSES) this.failing.delete([...this.failing.keys()][0]!);
    if (!isNewReason) return;
    this.log.warn('an address cannot be reached', { address, reason, ...this.fieldsOf(failing) });
  }

  private fieldsOf({ tries, firstFailedAt }: FailedDials): { tries: number; forMs: number } {
    return { tries, forMs: Math.round(this.timer.now() - firstFailedAt) };
  }
}

/** Shortest time between two lines about one address, ms, also when the reason changes with each try. */
const MIN_LINE_INTERVAL_MS = 1_000;

/** Most addresses that are tracked; the oldest are dropped first, as those of processes that are gone for good. */
const MAX_ADDRESSES = 256;
