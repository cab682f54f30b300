import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import {
  type BatchClaimed,
  type BatchFollowed,
  BatchFollowedSchema,
  type BatchHolder,
  BatchHolderSchema,
  type ClaimBatch,
  type FollowBatch,
  Outcome,
  type SeenEntry,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import claimLimits from './claimLimits';
import ClaimRound from './ClaimRound';
import type ClaimConflict from './ClaimConflict';
import HeldClaimRenewer from './HeldClaimRenewer';
import ConflictResolver from './ConflictResolver';
import type LocalClaim from './LocalClaim';
import Registrars from './Registrars';

interface BatchClaimsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly instance: string;
  readonly incarnation: string;
  /** Entries that sidecars know to be alive, some more than once; undefined until a sidecar has reported. */
  readonly liveEntries: () => readonly SeenEntry[] | undefined;
}

/** Result of acquiring a claim: `held`, or the answer for a batch that is not run here. */
type AcquireResult = 'held' | BatchFollowed;

/**
 * Ensures that only one entry at a time runs a batch, no matter when and to which entry its caller resubmits it.
 * Before an entry runs a batch, it requests a claim from three registrars and needs the consent of two, so any two
 * claims share a registrar. When another entry holds the batch, this one waits for its answer. When the holder has
 * ended its claim, or has been gone for so long that its runs have ended, the claim is requested again. If the state
 * of the batch cannot be determined, it is answered as unknown and not run.
 */
export default class BatchClaims {
  private readonly startedAt: number;

  private readonly registrars: Registrars;

  private readonly localClaims = new Map<string, LocalClaim>();

  private readonly renewer: HeldClaimRenewer;

  private readonly conflictResolver: ConflictResolver;

  /** Aborted to end the wait for the links that the process opens at its start. */
  private readonly linksReady = new AbortController();

  private constructor(private readonly opts: BatchClaimsOptions) {
    this.startedAt = opts.timer.now();
    this.registrars = Registrars.create(opts.timer, opts, opts.liveEntries);
    const { registrars, localClaims } = this;
    this.renewer = HeldClaimRenewer.create({ ...opts, registrars, localClaims });
    this.conflictResolver = ConflictResolver.create({ ...opts, registrars });
  }

  /** Creates the claims of an entry that is not linked to others yet. */
  static create(opts: BatchClaimsOptions): BatchClaims {
    return new BatchClaims(opts);
  }

  /** The newest claim made by this entry. */
  get newestClaim(): BatchHolder {
    return this.registrars.newestClaim;
  }

  /** Handles a new link to another entry: batches of which it is a registrar are claimed there too. */
  linkOpened(link: Link): void {
    if (!link.peer.claims) return;
    this.registrars.peers.add(link);
    this.renewer.renew();
  }

  /** Handles the end of a link to another entry: what was claimed there is claimed at its replacement. */
  linkEnded(link: Link): void {
    if (!link.peer.claims) return;
    this.registrars.peers.remove(link);
    this.localClaims.forEach(({ registrars }) => registrars.delete(link.peer.instance));
    this.renewer.renew();
  }

  /** Allows claims to be made, as links to all reachable entries are open. */
  startupLinksOpened(): void {
    this.linksReady.abort();
  }

  /** Opens the claim of a batch that has arrived; it has to be acquired before any of the batch runs. */
  open(opts: Pick<LocalClaim, 'batch' | 'keptMs' | 'onContested' | 'onLost'>): LocalClaim {
    const claim: LocalClaim = {
      ...opts,
      number: 0,
      state: 'claiming',
      holder: undefined,
      yieldedTo: undefined,
      endedClaims: new Map(),
      registrars: new Set(),
      isContested: false,
      unreachableSince: undefined,
    };
    this.localClaims.set(opts.batch, claim);
    return claim;
  }

  /** Closes the claim of a batch that has been answered. */
  close(claim: LocalClaim): void {
    if (this.localClaims.get(claim.batch) === claim) this.localClaims.delete(claim.batch);
  }

  /** Resolves to `held` once the batch may run here, or to its answer otherwise. Ends early when `done` aborts. */
  async acquire(claim: LocalClaim, done: AbortSignal): Promise<AcquireResult> {
    const { timer } = this.opts;
    await this.waitForStartupLinks(done);
    const startedAt = timer.now();
    for (let rounds = 1; ; rounds += 1) {
      // Answers of others may be out of date by the time they arrive.
      if (rounds > 2) await timer.sleep(claimLimits.retryDelayMs, done);
      const conflict = await this.findConflict(claim);
      if (done.aborted) return unknownOutcome('its caller is gone');
      // Another claimant may have been given precedence since the registrars answered.
      if (!conflict && !claim.yieldedTo) return this.markHeld(claim, rounds);
      const answer =
        !conflict || conflict === 'unclear'
          ? this.outcomeIfTimedOut(startedAt + claimLimits.quorumTimeoutMs, claim)
          : await this.conflictResolver.resolve(conflict, claim, done);
      claim.state = 'claiming';
      claim.holder = undefined;
      if (answer) return answer;
    }
  }

  /** Tells an entry that asks for a batch open here to `wait`, to `take` it over, or which entry to ask instead. */
  decideFollow(
    asker: Link,
    { batch, claim: number, isHeld }: FollowBatch,
  ): 'wait' | 'take' | BatchHolder {
    const claim = this.localClaims.get(batch);
    if (!claim || claim.state === 'held') return 'wait';
    const { instance, incarnation } = asker.peer;
    if (claim.state === 'following') {
      return claim.holder && claim.holder.incarnation !== incarnation ? claim.holder : 'take';
    }
    // Of two entries that claim a batch at the same time, the one whose instance name sorts first has precedence.
    if (!isHeld && this.opts.instance < instance) return 'wait';
    claim.yieldedTo = create(BatchHolderSchema, { instance, incarnation, claim: number });
    return 'take';
  }

  /** Handles another entry's claim, as a registrar. */
  handleClaim(link: Link, claim: ClaimBatch): void {
    link.send({ case: 'batchClaimed', value: this.registrars.recordClaim(link.peer, claim) });
  }

  /** Handles a registrar's answer. */
  handleClaimResponse(link: Link, answer: BatchClaimed): void {
    this.registrars.peers.byLink(link)?.handleClaimResponse(answer);
  }

  /** Handles a holder's answer. */
  handleFollowResponse(link: Link, state: BatchFollowed): void {
    this.registrars.peers.byLink(link)?.handleFollowResponse(state);
  }

  private markHeld(claim: LocalClaim, rounds: number): 'held' {
    claim.state = 'held';
    if (rounds > 1) {
      const registrars = [...claim.registrars];
      this.opts.log.info('a claim is held after several rounds', {
        request: claim.batch,
        rounds,
        registrars,
      });
    }
    return 'held';
  }

  /**
   * The outcome once the deadline has passed without a majority of answers: this entry seems to be isolated, while
   * others may serve the batch.
   */
  private outcomeIfTimedOut(deadline: number, claim: LocalClaim): BatchFollowed | undefined {
    const { timer, metrics } = this.opts;
    if (timer.now() < deadline) return undefined;
    metrics?.add('batch_claims_total', 1, 'given_up');
    const reason = 'too few other entries can be reached to be sure that none runs it';
    if (claim.isContested) return unknownOutcome(reason);
    const retryAfterMs = claimLimits.callerRetryAfterMs;
    return create(BatchFollowedSchema, { outcome: Outcome.NOT_RUN, reason, retryAfterMs });
  }

  /** Waits for links to the other entries, as it is unknown what they hold until then. */
  private async waitForStartupLinks(done: AbortSignal): Promise<void> {
    const { timer } = this.opts;
    const leftMs = this.startedAt + claimLimits.startupLinksTimeoutMs - timer.now();
    if (leftMs <= 0 || this.linksReady.signal.aborted) return;
    await timer.sleep(leftMs, AbortSignal.any([done, this.linksReady.signal]));
  }

  /** Requests the claim. Returns a conflicting one, if any, or `unclear` without a majority of answers. */
  private async findConflict(claim: LocalClaim): Promise<ClaimConflict | 'unclear' | undefined> {
    if (!claim.yieldedTo) {
      const result = await this.runRound(claim);
      if (result || !claim.yieldedTo) return result;
    }
    const { yieldedTo: holder } = claim;
    const goneMs = holder && this.registrars.goneMs(holder.incarnation);
    return holder && { holder, registrar: this.opts.instance, goneMs, silentMs: 0 };
  }

  private async runRound(claim: LocalClaim): Promise<ClaimConflict | 'unclear' | undefined> {
    const { timer, log, metrics } = this.opts;
    const { registrars } = this;
    const { registrarCandidates: candidates } = registrars.peers;
    this.renewer.membersChanged(candidates.keys());
    claim.number = registrars.nextNumber();
    claim.registrars.clear();
    const entries = registrars.choose(claim.batch, candidates);
    const asked = entries.map((entry) => {
      const peer = candidates.get(entry);
      return {
        entry,
        isAwaited: !peer?.isSlow,
        answer: registrars.requestClaim(entry, peer, claim),
      };
    });
    const result = await ClaimRound.run(timer, asked, () => {
      const current = registrars.peers.registrarCandidates;
      const chosen = registrars.choose(claim.batch, current);
      return chosen.every(
        (each, at) => each === entries[at] && current.get(each) === candidates.get(each),
      );
    });
    if (result === 'unclear') {
      log.info('a claim was not answered by a majority of registrars', {
        request: claim.batch,
        entries,
      });
      metrics?.add('batch_claims_total', 1, 'unanswered');
    }
    return result;
  }
}

function unknownOutcome(reason: string): BatchFollowed {
  return create(BatchFollowedSchema, { outcome: Outcome.UNKNOWN, reason });
}
