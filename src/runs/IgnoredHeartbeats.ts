import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';

/**
 * Why a heartbeat was ignored. `late`: its incarnation has ended. `foreign`: its service or address differs
 * from that of the incarnation under its id. `unreadable`: it could not be parsed.
 */
type Cause = 'late' | 'foreign' | 'unreadable';

/** What is logged of a heartbeat. */
interface Sender {
  readonly id: string;
  readonly born?: number;
}

/** Counts ignored heartbeats, by cause. Anybody can send them, so log lines are rate-limited. */
export default class IgnoredHeartbeats {
  private readonly counts = new Map<Cause, number>();

  private readonly loggedAt = new Map<Cause, number>();

  private constructor(
    private readonly timer: TimerService,
    private readonly log: EventLog,
  ) {}

  /** Creates counters at zero. */
  static create(timer: TimerService, log: EventLog): IgnoredHeartbeats {
    return new IgnoredHeartbeats(timer, log);
  }

  /** Ignored heartbeats so far, by cause. */
  get byCause(): ReadonlyMap<string, number> {
    return this.counts;
  }

  /** Counts an ignored heartbeat, and logs it unless the cause was logged a short time ago. */
  record(cause: Cause, { id, born }: Sender, reason?: string): void {
    const count = (this.counts.get(cause) ?? 0) + 1;
    this.counts.set(cause, count);
    const now = this.timer.now();
    if (now - (this.loggedAt.get(cause) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.loggedAt.set(cause, now);
    const backend = id.slice(0, MAX_LOGGED_ID_CHARS);
    this.log.warn('a heartbeat is ignored', { backend, born, cause, reason, count });
  }
}

/** Minimum time between log lines of the same cause, ms. */
const LOG_INTERVAL_MS = 1_000;

/** Longest prefix of an id that is logged, characters. */
const MAX_LOGGED_ID_CHARS = 100;
