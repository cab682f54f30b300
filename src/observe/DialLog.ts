import type TimerService from '../core/TimerService';
import type EventLog from './EventLog';

/** Dials of one address that have failed since it was last reached. */
interface Failing {
  readonly sinceMs: number;
  readonly tries: number;
  /** The reason that was written last, and when. */
  readonly reason: string;
  readonly writtenAt: number;
}

/**
 * Writes why an address cannot be reached: when that begins, when the reason changes, and when it is
 * over, with how often it was tried and for how long. Not each try, since there are two a second.
 */
export default class DialLog {
  private readonly failing = new Map<string, Failing>();

  private constructor(
    private readonly timer: TimerService,
    private readonly log: EventLog,
  ) {}

  /** Creates it for dials of which none has failed. */
  static to(timer: TimerService, log: EventLog): DialLog {
    return new DialLog(timer, log);
  }

  /** Takes how a dial of an address went: why it failed, or nothing. */
  dialled(address: string, reason: string | undefined): void {
    if (reason === undefined) this.reached(address);
    else this.failed(address, reason);
  }

  private reached(address: string): void {
    const failing = this.failing.get(address);
    if (!failing) return;
    this.failing.delete(address);
    this.log.info('an address is reached again', { address, ...this.spanOf(failing) });
  }

  private failed(address: string, reason: string): void {
    const now = this.timer.now();
    const before = this.failing.get(address) ?? {
      sinceMs: now,
      tries: 0,
      reason: '',
      writtenAt: -Infinity,
    };
    const failing = { ...before, tries: before.tries + 1 };
    const isNews = reason !== before.reason && now - before.writtenAt >= LINE_INTERVAL_MS;
    this.failing.set(address, isNews ? { ...failing, reason, writtenAt: now } : failing);
    if (this.failing.size > MOST_ADDRESSES) this.failing.delete([...this.failing.keys()][0]!);
    if (!isNews) return;
    this.log.warn('an address cannot be reached', { address, reason, ...this.spanOf(failing) });
  }

  private spanOf({ tries, sinceMs }: Failing): { tries: number; forMs: number } {
    return { tries, forMs: Math.round(this.timer.now() - sinceMs) };
  }
}

/** Reasons that change with each try make one line in this time and address, ms. */
const LINE_INTERVAL_MS = 1_000;

/** Addresses that are remembered; those of processes that are gone for good are given up first. */
const MOST_ADDRESSES = 256;
