import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import type TimerService from '../core/TimerService';

/** How long what an entry said of its queue is trusted. */
const WAIT_TRUST_MS = 1000;

/** A linked entry, as its sidecar sees it. */
export default class EntryPeer {
  /** True once the entry has said on this link which view it knows. */
  hasSentView = false;

  /** True after the entry said that it leaves. */
  leaving = false;

  /** No message for some heartbeats: it is given no credits until it is heard again. */
  suspected = false;

  /** Number of the last view that was confirmed to this entry. */
  private fencedView = -1n;

  private waitMs = 0;

  private waitAt = Number.NEGATIVE_INFINITY;

  private constructor(
    readonly link: Link,
    private readonly timer: TimerService,
  ) {}

  /** Creates the state of a link that has just opened. */
  static of(link: Link, timer: TimerService): EntryPeer {
    return new EntryPeer(link, timer);
  }

  get incarnation(): string {
    return this.link.peer.incarnation;
  }

  /** Whether it may be given credits. */
  get isEligible(): boolean {
    return !this.leaving && !this.suspected && !this.link.closed.aborted;
  }

  /** Age of the oldest task waiting at the entry, as far as lately heard; else 0. */
  get oldestWaitMs(): number {
    return this.timer.now() - this.waitAt <= WAIT_TRUST_MS ? this.waitMs : 0;
  }

  /** Notes what the entry said of its oldest waiting task. */
  hearWait(waitMs: number): void {
    this.waitMs = waitMs;
    this.waitAt = this.timer.now();
  }

  /** Notes that the entry has said which view it knows. */
  noteViewSent(): void {
    this.hasSentView = true;
  }

  /** Notes that the entry leaves. */
  noteLeaving(): void {
    this.leaving = true;
  }

  /** Notes whether the entry has been silent for long. */
  suspect(suspected: boolean): void {
    this.suspected = suspected;
  }

  /** Notes that a view was confirmed to this entry. */
  noteFenced(viewNumber: bigint): void {
    this.fencedView = viewNumber;
  }

  /** Whether this view was confirmed to this entry. */
  wasFenced(viewNumber: bigint): boolean {
    return this.fencedView === viewNumber;
  }

  send(message: PeerMessage): void {
    this.link.send(message);
  }
}
