import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import type TimerService from '../core/TimerService';

/** How long an entry's report of its oldest waiting task is used. */
const WAIT_REPORT_VALID_MS = 1000;

/** A sidecar's state of one linked entry. */
export default class LinkedEntry {
  /** True once the entry has sent its view on this link. */
  hasReportedView = false;

  /** True once the entry has sent `Goodbye`. */
  isLeaving = false;

  /** True while the entry is unresponsive: it is issued no credits until it sends a message again. */
  isSuspected = false;

  /** Number of the last view confirmed to this entry. */
  private confirmedView = -1n;

  private reportedWaitMs = 0;

  private waitReportedAt = Number.NEGATIVE_INFINITY;

  private constructor(
    readonly link: Link,
    private readonly timer: TimerService,
  ) {}

  /** Creates the state for a link that has just opened. */
  static fromLink(link: Link, timer: TimerService): LinkedEntry {
    return new LinkedEntry(link, timer);
  }

  /** Incarnation of the entry. */
  get incarnation(): string {
    return this.link.peer.incarnation;
  }

  /** Whether credits may be issued to it. */
  get isEligible(): boolean {
    return !this.isLeaving && !this.isSuspected && !this.link.closed.aborted;
  }

  /** Age of the oldest task queued at the entry, milliseconds; 0 without a recent report. */
  get oldestWaitMs(): number {
    return this.timer.now() - this.waitReportedAt <= WAIT_REPORT_VALID_MS ? this.reportedWaitMs : 0;
  }

  /** Records the reported age of the oldest task queued at the entry. */
  recordOldestWait(waitMs: number): void {
    this.reportedWaitMs = waitMs;
    this.waitReportedAt = this.timer.now();
  }

  /** Records that the entry has sent its view. */
  markViewReported(): void {
    this.hasReportedView = true;
  }

  /** Records that the entry is leaving. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Records whether the entry is unresponsive. */
  setSuspected(suspected: boolean): void {
    this.isSuspected = suspected;
  }

  /** Records that a view was confirmed to this entry. */
  recordConfirmedView(viewNumber: bigint): void {
    this.confirmedView = viewNumber;
  }

  /** Whether this view was the last one confirmed to this entry. */
  hasConfirmedView(viewNumber: bigint): boolean {
    return this.confirmedView === viewNumber;
  }

  /** Sends a message to the entry. */
  send(message: PeerMessage): void {
    this.link.send(message);
  }
}
