import type TimerService from '../core/TimerService';
import type { LoadReport } from '../gen/magnoliakeel/v1/peer_pb';
import type Load from './Load';

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAt: number;
}

/** The load of another entry, with the age of its report. */
interface AgedLoad {
  readonly load: Load;
  readonly ageMs: number;
  /** Its weight by age, 0 to 1. */
  readonly weight: number;
}

/**
 * The loads that other entries have reported. A report loses weight once the next one is overdue, and soon
 * counts for nothing: an isolated entry goes by its own backlog, and nobody waits behind an entry that is gone.
 */
export default class PeerLoads {
  private readonly reports = new Map<string, ReceivedReport>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates it without any report. */
  static create(timer: TimerService): PeerLoads {
    return new PeerLoads(timer);
  }

  /** Replaces the last report of an entry. */
  update(entry: string, report: LoadReport): void {
    this.reports.set(entry, { report, receivedAt: this.timer.now() });
  }

  /** The loads of a service at other entries, with the weights of their reports. */
  forService(service: string): readonly AgedLoad[] {
    const now = this.timer.now();
    this.reports.forEach(({ receivedAt }, entry) => {
      if (now - receivedAt > MAX_REPORT_AGE_MS) this.reports.delete(entry);
    });
    return [...this.reports.values()].flatMap(({ report, receivedAt }) => {
      const load = report.services.find((each) => each.service === service);
      const ageMs = now - receivedAt;
      return load ? [{ load, ageMs, weight: weightAt(ageMs) }] : [];
    });
  }
}

function weightAt(ageMs: number): number {
  return 2 ** -Math.max(0, (ageMs - FULL_WEIGHT_MS) / FULL_WEIGHT_MS);
}

/** Up to this age a report has full weight, and half of it after as long again, ms: two report intervals. */
const FULL_WEIGHT_MS = 200;

/** After this time a report is dropped, ms: it counts for less than a thirtieth. */
const MAX_REPORT_AGE_MS = 6 * FULL_WEIGHT_MS;
