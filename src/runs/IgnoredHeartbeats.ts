import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';

/**
 * Why a heartbeat changed nothing. `late`: its life has ended. `foreign`: it tells of another service or address than
 * the life under its id has. `unreadable`: it is none.
 */
type Cause = 'late' | 'foreign' | 'unreadable';

/** What the line tells of a heartbeat. */
interface Sender {
  readonly id: string;
  readonly born?: number;
}

/** Counts heartbeats that changed nothing, by cause. Any writer may send them, so lines are bounded. */
export default class IgnoredHeartbeats {
  private readonly counts = new Map<Cause, number>();

  private readonly loggedAt = new Map<Cause, number>();

  private constructor(
    private readonly timer: TimerService,
    private readonly log: EventLog,
  ) {}

  /** Creates one that has counted none. */
  static create(timer: TimerService, log: EventLog): IgnoredHeartbeats {
    return new IgnoredHeartbeats(timer, log);
  }

  /** Heartbeats so far, by cause. */
  get byCause(): ReadonlyMap<string, number> {
    return this.counts;
  }

  /** A heartbeat was passed over. */
  record(cause: Cause, { id, born }: Sender, reason?: string): void {
    const count = (this.counts.get(cause) ?? 0) + 1;
    this.counts.set(cause, count);
    const now = this.timer.now();
    if (now - (this.loggedAt.get(cause) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAt.set(cause, now);
    const backend = id.slice(0, MAX_LOGGED_ID_CHARS);
    this.log.warn('a heartbeat is passed over', { backend, born, cause, reason, count });
  }
}

/** Heartbeats passed over for the same cause make one line in this time, ms. */
const LOG_INTERVAL_MS = 1_000;

/** Most characters of an id in a line. */
const MAX_LOGGED_ID_CHARS = 100;
