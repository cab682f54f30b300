import type TimerService from '../core/TimerService';
import type { LoadReport } from '../gen/magnoliakeel/v1/peer_pb';
import type Load from './Load';

interface Heard {
  readonly report: LoadReport;
  readonly at: number;
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
  private readonly heard = new Map<string, Heard>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates one that has heard nothing. */
  static create(timer: TimerService): PeerLoads {
    return new PeerLoads(timer);
  }

  /** Takes the report of an entry in place of its last. */
  update(entry: string, report: LoadReport): void {
    this.heard.set(entry, { report, at: this.timer.now() });
  }

  /** The loads of a service at other entries, as far as their reports still count. */
  forService(service: string): readonly AgedLoad[] {
    const now = this.timer.now();
    this.heard.forEach(({ at }, entry) => {
      if (now - at > FORGOTTEN_MS) this.heard.delete(entry);
    });
    return [...this.heard.values()].flatMap(({ report, at }) => {
      const load = report.services.find((each) => each.service === service);
      const ageMs = now - at;
      return load ? [{ load, ageMs, weight: weightAt(ageMs) }] : [];
    });
  }
}

function weightAt(ageMs: number): number {
  return 2 ** -Math.max(0, (ageMs - FRESH_MS) / FRESH_MS);
}

/** Up to this age a report counts in full, and half after as long again, ms: two of its intervals. */
const FRESH_MS = 200;

/** After this time a report is forgotten, ms: it counts for less than a thirtieth. */
const FORGOTTEN_MS = 6 * FRESH_MS;
