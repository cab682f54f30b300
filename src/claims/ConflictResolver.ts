import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import {
  type BatchFollowed,
  BatchFollowedSchema,
  type BatchHolder,
  Outcome,
} from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import claimLimits from './claimLimits';
import type ClaimPeer from './ClaimPeer';
import type ClaimConflict from './ClaimConflict';
import type FollowResult from './FollowResult';
import followHolder from './followHolder';
import type LocalClaim from './LocalClaim';
import type Registrars from './Registrars';

interface OtherHolderOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly registrars: Registrars;
}

/** What an entry does about a batch that another entry has claimed. */
export default class ConflictResolver {
  private constructor(private readonly opts: OtherHolderOptions) {}

  /** Creates it for the claims of an entry. */
  static create(opts: OtherHolderOptions): ConflictResolver {
    return new ConflictResolver(opts);
  }

  /**
   * Waits for the entry that has claimed the batch, until `done` aborts. Resolves to its answer, or to nothing when the
   * claim is to be made again.
   */
  async resolve(
    conflict: ClaimConflict,
    claim: LocalClaim,
    done: AbortSignal,
  ): Promise<BatchFollowed | undefined> {
    const { holder, goneMs, silentMs, registrar } = conflict;
    const { peers } = this.opts.registrars;
    const peer = peers.findByIncarnation(holder.incarnation);
    claim.isContested = true;
    claim.contested();
    this.opts.log.info('a batch is claimed by another entry', {
      request: claim.batch,
      claim: claim.number,
      holder: holder.instance,
      holderIncarnation: holder.incarnation,
      holderClaim: holder.claim,
      ...{ registrar, goneMs, silentMs, isLinked: peer !== undefined },
    });
    if (peer && !peer.isPresumedDead) return this.follow(peer, holder, claim, done);
    const isOver = peer
      ? silentMs >= RUN_END_BOUND_MS.afterConfirmation && !peers.mayBeAlive(holder.incarnation)
      : goneMs !== undefined && goneMs >= RUN_END_BOUND_MS.afterProcessEnd;
    if (!isOver) return this.awaitReach(goneMs, claim, done);
    claim.endedClaims.set(holder.incarnation, holder);
    claim.yieldedTo = undefined;
    return undefined;
  }

  private async follow(
    peer: ClaimPeer,
    holder: BatchHolder,
    claim: LocalClaim,
    done: AbortSignal,
  ): Promise<BatchFollowed | undefined> {
    const { timer, log, metrics, registrars } = this.opts;
    const startedAt = timer.now();
    const number = registrars.nextNumber();
    const end = await followHolder({ timer, peer, holder, claim, number, done });
    log.info('another entry is no longer waited for', {
      request: claim.batch,
      holder: holder.instance,
      end: end.kind,
      waitedMs: Math.round(timer.now() - startedAt),
    });
    metrics?.add('batch_claims_total', 1, end.kind);
    claim.unreachableSince = undefined;
    claim.yieldedTo = nextToAsk(end, holder);
    if (end.kind === 'past') claim.endedClaims.set(end.holder.incarnation, end.holder);
    return end.kind === 'answered' ? end.state : undefined;
  }

  /** The holder is out of reach: its runs will be over, or it is linked soon, or what it does stays unknown. */
  private async awaitReach(
    goneMs: number | undefined,
    claim: LocalClaim,
    done: AbortSignal,
  ): Promise<BatchFollowed | undefined> {
    const { timer, metrics } = this.opts;
    const now = timer.now();
    if (goneMs === undefined) claim.yieldedTo = undefined;
    claim.unreachableSince = goneMs === undefined ? (claim.unreachableSince ?? now) : undefined;
    if (now - (claim.unreachableSince ?? now) >= claimLimits.reachMs) {
      metrics?.add('batch_claims_total', 1, 'unreachable');
      const reason = 'it is open at an entry that is out of reach';
      return create(BatchFollowedSchema, { outcome: Outcome.UNKNOWN, reason });
    }
    const leftMs = RUN_END_BOUND_MS.afterProcessEnd - (goneMs ?? Infinity);
    const waitMs = Math.min(Math.max(leftMs, claimLimits.retryMs), claimLimits.probeMs);
    await timer.sleep(waitMs, done);
    return undefined;
  }
}

/** The entry to ask next. One whose link has ended may be back soon. */
function nextToAsk(end: FollowResult, holder: BatchHolder): BatchHolder | undefined {
  if (end.kind === 'moved') return end.holder;
  return end.kind === 'ended' ? holder : undefined;
}
