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
  /** How far it still counts, 0 to 1. */
  readonly weight: number;
}

/**
 * What other entries have told of their load. A report fades once the next one is overdue, and soon counts for
 * nothing: an entry that is cut off goes by its own line, and who is gone is not waited behind.
 */
export default class PeerLoads {
  private readonly reports = new Map<string, ReceivedReport>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates one that has heard nothing. */
  static create(timer: TimerService): PeerLoads {
    return new PeerLoads(timer);
  }

  /** Takes the report of an entry in place of its last. */
  update(entry: string, report: LoadReport): void {
    this.reports.set(entry, { report, receivedAt: this.timer.now() });
  }

  /** The loads of a service at other entries, as far as their reports still count. */
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

/** Up to this age a report counts in full, and half after as long again, ms: two of its intervals. */
const FULL_WEIGHT_MS = 200;

/** After this time a report is forgotten, ms: it counts for less than a thirtieth. */
const MAX_REPORT_AGE_MS = 6 * FULL_WEIGHT_MS;
