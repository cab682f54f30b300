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
  /** Sidecars that are linked. */
  readonly peers: () => Iterable<SidecarPeer>;
  /** Batches with tasks that wait for capacity, in no particular order. */
  readonly backlog: () => readonly Batch[];
  /** Number of entries that callers are spread over. */
  readonly entryCount: () => number;
  /** Whether sidecars and backend servers may still be starting, as after a power loss. */
  readonly isStarting: () => boolean;
  /** Event-loop lag of this process, ms. */
  readonly lagMs: () => number;
}

/**
 * Decides which batches an entry accepts, and when refused callers should retry. In an outage,
 * batches that cannot run are refused immediately as not run. When load exceeds what this process
 * can handle, batches that it would serve too late are refused while that is cheap, so that the
 * others are served in time.
 */
export default class Admission {
  private constructor(private readonly opts: AdmissionOptions) {}

  /** Creates the admission control of an entry. */
  static create(opts: AdmissionOptions): Admission {
    return new Admission(opts);
  }

  /**
   * The refusal of a batch that cannot run at all now; undefined if it can, or if that is not known
   * yet.
   */
  refusalOf(submission: BatchSubmission): BatchAnswer | undefined {
    const reason = this.opts.isStarting() ? undefined : this.obstacleFor(submission);
    if (reason === undefined) return undefined;
    const { id, queue } = submission;
    const sidecars = [...this.opts.peers()].length;
    this.opts.log.info('a batch is refused', { request: id, reason, queue: queue.name, sidecars });
    return { kind: 'not-run', reason, retryAfterMs: retryDelays.noBackendMs };
  }

  /**
   * The refusal of any batch while this process lags too far behind; undefined otherwise. It needs
   * no data of the batch, so a caller can be refused before its request is read.
   */
  refusalByLag(id: string, queue: string): BatchAnswer | undefined {
    const lateMs = Math.round(this.opts.lagMs());
    if (lateMs < MAX_LAG_MS) return undefined;
    const reason = 'this entry has more to do than it can';
    this.opts.log.info('a batch is refused', { request: id, reason, queue, lateMs });
    return { kind: 'not-run', reason, retryAfterMs: this.retryAfter(lateMs) };
  }

  private obstacleFor({ queue, steps }: BatchSubmission): string | undefined {
    const peers = [...this.opts.peers()].filter((peer) => peer.service === queue.service);
    if (!peers.some(({ isAccepting }) => isAccepting)) {
      return 'no backend server of the service takes tasks';
    }
    const oversized = steps.find(
      ({ needs }) => !peers.some(({ capacity }) => capacity.covers(needs)),
    );
    return oversized && 'a task needs more than any backend server has';
  }

  /**
   * The refusal of a batch that has expired in the backlog; its caller is to retry when the backlog
   * should be gone.
   */
  refusalOfExpired(): BatchAnswer {
    const sharingEntries = Math.min(this.opts.entryCount(), ENTRIES_PER_SIDECAR);
    const waitMs = predictWait(this.opts.backlog(), [...this.opts.peers()], sharingEntries);
    const reason = 'there was no room for it in time';
    return { kind: 'not-run', reason, retryAfterMs: this.retryAfter(waitMs) };
  }

  /** The predicted wait, with jitter so that callers do not retry at the same time. */
  private retryAfter(waitMs: number): number {
    return Math.round(this.opts.random.jitter(Math.max(waitMs, retryDelays.minMs)));
  }
}

/**
 * A process that lags more than this accepts nothing new, ms. The most impatient callers can spare
 * some 100; and an entry that answers pulses 550 late (`pulseTimings`) is presumed dead, and all
 * its runs are stopped.
 */
const MAX_LAG_MS = 150;
