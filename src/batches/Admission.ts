import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';
import ENTRIES_PER_SIDECAR from '../peering/ENTRIES_PER_SIDECAR';
import type Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import type BatchPolicy from './BatchPolicy';
import type BatchSubmission from './BatchSubmission';
import compareUrgencies from './compareUrgencies';
import refusalTimes from './refusalTimes';
import type SidecarPeer from './SidecarPeer';

interface AdmissionOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: EventLog;
  readonly policy: BatchPolicy;
  /** Sidecars linked now. */
  readonly peers: () => Iterable<SidecarPeer>;
  /** Batches with tasks that wait for room, in no order. */
  readonly backlog: () => readonly Batch[];
  /** Entries that callers are spread over. */
  readonly entryCount: () => number;
  /** Whether sidecars and backend servers may still be about to come, as after a loss of power. */
  readonly isStarting: () => boolean;
}

/**
 * Says which batches an entry takes. It answers bursts and outages: what cannot run, or would end so
 * late that its answer is of no use, is refused at once, as not run, with a time to come back.
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
    return { kind: 'not-run', reason, retryAfterMs: refusalTimes.noRoomMs };
  }

  private obstacleTo({ queue, steps }: BatchSubmission): string | undefined {
    const peers = [...this.opts.peers()].filter((peer) => peer.service === queue.service);
    if (!peers.some(({ isAccepting }) => isAccepting)) {
      return 'no backend server of the service takes tasks';
    }
    const unfit = steps.find(({ needs }) => !peers.some(({ capacity }) => capacity.holds(needs)));
    return unfit && 'a task needs more than any backend server has';
  }

  /** Why a batch would be answered too late, should it be taken; undefined when it would not. */
  refuseIfTooLate(batch: Batch): BatchAnswer | undefined {
    const backlog = this.opts.backlog();
    // While sidecars come one after the other, the room there is says little of what there will be.
    if (backlog.length === 0 || this.opts.isStarting()) return undefined;
    const now = this.opts.timer.now();
    const { urgency } = this.opts.policy;
    const own = urgency(batch, now);
    const ahead = backlog.filter((other) => compareUrgencies(urgency(other, now), own) <= 0);
    const waitMs = this.waitBehind(ahead);
    if (!batch.isHopeless(now + waitMs)) return undefined;
    const reason = 'it would wait longer than its answer is of use';
    this.opts.log.info('a batch is refused', {
      request: batch.id,
      ...{ reason, waitMs: Math.round(waitMs), ahead: ahead.length },
      entries: this.opts.entryCount(),
      ...batch.objective,
    });
    return { kind: 'not-run', reason, retryAfterMs: this.retryAfter(waitMs) };
  }

  /** The answer to a batch that has waited in vain: the line moved more slowly than predicted. */
  refuseWaiting(): BatchAnswer {
    const waitMs = this.waitBehind(this.opts.backlog());
    const reason = 'it has waited until its answer is of no use';
    return { kind: 'not-run', reason, retryAfterMs: this.retryAfter(waitMs) };
  }

  private waitBehind(ahead: readonly Batch[]): number {
    const sharing = Math.min(this.opts.entryCount(), ENTRIES_PER_SIDECAR);
    return this.opts.policy.predict(ahead, [...this.opts.peers()], sharing);
  }

  /** The predicted wait, spread so that callers do not come back together. */
  private retryAfter(waitMs: number): number {
    return Math.round(this.opts.random.jitter(Math.max(waitMs, refusalTimes.leastMs)));
  }
}
