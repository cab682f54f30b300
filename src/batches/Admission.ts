import type Random from '../core/Random';
import type EventLog from '../observe/EventLog';
import ENTRIES_PER_SIDECAR from '../peering/ENTRIES_PER_SIDECAR';
import type Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import type BatchSubmission from './BatchSubmission';
import predictWait from './predictWait';
import retryDelays from './retryDelays';
import type SidecarPeer from './SidecarPeer';

interface AdmissionOptions {
  readonly random: Random;
  readonly log: EventLog;
  /** Sidecars linked now. */
  readonly peers: () => Iterable<SidecarPeer>;
  /** Batches with tasks that wait for room, in no order. */
  readonly backlog: () => readonly Batch[];
  /** Entries that callers are spread over. */
  readonly entryCount: () => number;
  /** Whether sidecars and backend servers may still be about to come, as after a loss of power. */
  readonly isStarting: () => boolean;
  /** How late this process is with its work, ms. */
  readonly latenessMs: () => number;
}

/**
 * Says which batches an entry takes, and when refused callers are to come back. It answers outages, in which
 * what cannot run is refused at once, as not run, and load that is more than this process can do: what it
 * would serve too late is refused while that is cheap, so that the rest is served in time.
 */
export default class Admission {
  private constructor(private readonly opts: AdmissionOptions) {}

  /** Creates the admission of an entry. */
  static create(opts: AdmissionOptions): Admission {
    return new Admission(opts);
  }

  /** Why a batch cannot run at all now; undefined when it can, or when that is not known yet. */
  refusalOf(submission: BatchSubmission): BatchAnswer | undefined {
    const reason = this.opts.isStarting() ? undefined : this.obstacleTo(submission);
    if (reason === undefined) return undefined;
    const { id, queue } = submission;
    const sidecars = [...this.opts.peers()].length;
    this.opts.log.info('a batch is refused', { request: id, reason, queue: queue.name, sidecars });
    return { kind: 'not-run', reason, retryAfterMs: retryDelays.noRoomMs };
  }

  /**
   * The answer to any batch while this process is too late with its work; undefined while it is not. It
   * needs nothing of the batch, so that a caller can be refused before its request is read.
   */
  refusalByLag(id: string, queue: string): BatchAnswer | undefined {
    const lateMs = Math.round(this.opts.latenessMs());
    if (lateMs < MOST_LATE_MS) return undefined;
    const reason = 'this entry has more to do than it can';
    this.opts.log.info('a batch is refused', { request: id, reason, queue, lateMs });
    return { kind: 'not-run', reason, retryAfterMs: this.retryAfter(lateMs) };
  }

  private obstacleTo({ queue, steps }: BatchSubmission): string | undefined {
    const peers = [...this.opts.peers()].filter((peer) => peer.service === queue.service);
    if (!peers.some(({ isAccepting }) => isAccepting)) {
      return 'no backend server of the service takes tasks';
    }
    const unfit = steps.find(({ needs }) => !peers.some(({ capacity }) => capacity.covers(needs)));
    return unfit && 'a task needs more than any backend server has';
  }

  /** The answer to a batch that has waited in vain: the caller comes back when the line should be gone. */
  refusalOfExpired(): BatchAnswer {
    const sharing = Math.min(this.opts.entryCount(), ENTRIES_PER_SIDECAR);
    const waitMs = predictWait(this.opts.backlog(), [...this.opts.peers()], sharing);
    const reason = 'there was no room for it in time';
    return { kind: 'not-run', reason, retryAfterMs: this.retryAfter(waitMs) };
  }

  /** The predicted wait, spread so that callers do not come back together. */
  private retryAfter(waitMs: number): number {
    return Math.round(this.opts.random.jitter(Math.max(waitMs, retryDelays.leastMs)));
  }
}

/**
 * A process that is later than this with its work takes nothing new, ms. The quickest callers can spare some
 * 100; and an entry that answers pulses 550 late (`pulseLimits`) is taken for dead, and all its runs stopped.
 */
const MOST_LATE_MS = 150;
