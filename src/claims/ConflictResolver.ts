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

interface ConflictResolverOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly registrars: Registrars;
}

/** Waits for the holder when another entry has already claimed a batch. */
export default class ConflictResolver {
  private constructor(private readonly opts: ConflictResolverOptions) {}

  /** Creates the resolver for the claims of an entry. */
  static create(opts: ConflictResolverOptions): ConflictResolver {
    return new ConflictResolver(opts);
  }

  /**
   * Waits for the entry that has claimed the batch, until `done` aborts. Resolves to its answer, or to undefined when
   * the claim has to be requested again.
   */
  async resolve(
    conflict: ClaimConflict,
    claim: LocalClaim,
    done: AbortSignal,
  ): Promise<BatchFollowed | undefined> {
    const { holder, goneMs, silentMs, registrar } = conflict;
    const { peers } = this.opts.registrars;
    const peer = peers.byProcess(holder.incarnation);
    claim.isContested = true;
    claim.onContested();
    this.opts.log.info('a batch is already claimed by another entry', {
      request: claim.batch,
      claim: claim.number,
      holder: holder.instance,
      holderIncarnation: holder.incarnation,
      holderClaim: holder.claim,
      ...{ registrar, goneMs, silentMs, isLinked: peer !== undefined },
    });
    if (peer && !peer.isPresumedDead) return this.followUntilEnd(peer, holder, claim, done);
    const haveRunsEnded = peer
      ? silentMs >= RUN_END_BOUND_MS.afterConfirmation && !peers.mayBeAlive(holder.incarnation)
      : goneMs !== undefined && goneMs >= RUN_END_BOUND_MS.afterProcessEnd;
    if (!haveRunsEnded) return this.waitForHolder(goneMs, claim, done);
    claim.endedClaims.set(holder.incarnation, holder);
    claim.yieldedTo = undefined;
    return undefined;
  }

  private async followUntilEnd(
    peer: ClaimPeer,
    holder: BatchHolder,
    claim: LocalClaim,
    done: AbortSignal,
  ): Promise<BatchFollowed | undefined> {
    const { timer, log, metrics, registrars } = this.opts;
    const startedAt = timer.now();
    const number = registrars.nextNumber();
    const result = await followHolder({ timer, peer, holder, claim, number, done });
    log.info('stopped waiting for the holder of a batch', {
      request: claim.batch,
      holder: holder.instance,
      end: result.kind,
      waitedMs: Math.round(timer.now() - startedAt),
    });
    metrics?.add('batch_claims_total', 1, result.kind);
    claim.unreachableSince = undefined;
    claim.yieldedTo = nextHolderToAsk(result, holder);
    if (result.kind === 'past') claim.endedClaims.set(result.holder.incarnation, result.holder);
    return result.kind === 'answered' ? result.state : undefined;
  }

  /** Waits a while for an unreachable holder to reconnect or its runs to end; the outcome is unknown after a time-out. */
  private async waitForHolder(
    goneMs: number | undefined,
    claim: LocalClaim,
    done: AbortSignal,
  ): Promise<BatchFollowed | undefined> {
    const { timer, metrics } = this.opts;
    const now = timer.now();
    if (goneMs === undefined) claim.yieldedTo = undefined;
    claim.unreachableSince = goneMs === undefined ? (claim.unreachableSince ?? now) : undefined;
    if (now - (claim.unreachableSince ?? now) >= claimLimits.holderTimeoutMs) {
      metrics?.add('batch_claims_total', 1, 'unreachable');
      const reason = 'it is open at an entry that is out of reach';
      return create(BatchFollowedSchema, { outcome: Outcome.UNKNOWN, reason });
    }
    const leftMs = RUN_END_BOUND_MS.afterProcessEnd - (goneMs ?? Infinity);
    const waitMs = Math.min(
      Math.max(leftMs, claimLimits.retryDelayMs),
      claimLimits.probeIntervalMs,
    );
    await timer.sleep(waitMs, done);
    return undefined;
  }
}

/** The entry to ask next. A holder whose link has ended may reconnect soon. */
function nextHolderToAsk(result: FollowResult, holder: BatchHolder): BatchHolder | undefined {
  if (result.kind === 'moved') return result.holder;
  return result.kind === 'ended' ? holder : undefined;
}
