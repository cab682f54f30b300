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

interface ClaimsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly instance: string;
  readonly incarnation: string;
  /** Other entries that sidecars know to be awake, some more than once; undefined while none has told. */
  readonly liveEntries: () => readonly SeenEntry[] | undefined;
}

/** What comes of settling a claim: `held`, or the answer of the entry that holds the batch. */
type Settled = 'held' | BatchFollowed;

/**
 * Makes sure that one entry at a time runs a batch, whenever and wherever its caller sends it again. Before an entry
 * runs a batch it claims it at three registrars, and needs the word of two, so any two claims meet at one. When
 * another entry holds the batch, its answer is waited for; when that has nothing left of it, or is gone for so long
 * that its runs are over, the claim is made again. What cannot be found out ends as unknown, and is not run.
 */
export default class BatchClaims {
  private readonly startedAt: number;

  private readonly registrars: Registrars;

  private readonly own = new Map<string, LocalClaim>();

  private readonly held: HeldClaimRenewer;

  private readonly otherHolder: ConflictResolver;

  /** Ends the wait for the links that the process opens at its start. */
  private readonly settled = new AbortController();

  private constructor(private readonly opts: ClaimsOptions) {
    this.startedAt = opts.timer.now();
    this.registrars = Registrars.create(opts.timer, opts, opts.liveEntries);
    const { registrars, own } = this;
    this.held = HeldClaimRenewer.create({ ...opts, registrars, localClaims: own });
    this.otherHolder = ConflictResolver.create({ ...opts, registrars });
  }

  /** Creates the claims of an entry that is not linked to others yet. */
  static create(opts: ClaimsOptions): BatchClaims {
    return new BatchClaims(opts);
  }

  /** The newest claim made here. */
  get newestClaim(): BatchHolder {
    return this.registrars.newestClaim;
  }

  /** A link to another entry has opened: batches that it is a registrar of are claimed there too. */
  linkOpened(link: Link): void {
    if (!link.peer.claims) return;
    this.registrars.peers.add(link);
    this.held.renew();
  }

  /** A link to another entry has ended: what was claimed there is claimed at the next in its place. */
  linkEnded(link: Link): void {
    if (!link.peer.claims) return;
    this.registrars.peers.remove(link);
    this.own.forEach(({ registrars }) => registrars.delete(link.peer.instance));
    this.held.renew();
  }

  /** Links to all other entries that can be reached are open: from now on claims are made. */
  startupLinksOpened(): void {
    this.settled.abort();
  }

  /** Opens the claim of a batch that has arrived; to be settled before any of it runs. */
  open(opts: Pick<LocalClaim, 'batch' | 'keptMs' | 'contested' | 'lost'>): LocalClaim {
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
    this.own.set(opts.batch, claim);
    return claim;
  }

  /** The batch has its answer. */
  close(claim: LocalClaim): void {
    if (this.own.get(claim.batch) === claim) this.own.delete(claim.batch);
  }

  /** Resolves once the batch may be run here, or to what became of it elsewhere. Ends early when `done` aborts. */
  async acquire(claim: LocalClaim, done: AbortSignal): Promise<Settled> {
    const { timer } = this.opts;
    await this.linksOpen(done);
    const startedAt = timer.now();
    for (let rounds = 1; ; rounds += 1) {
      // What others say may be outdated for as long as messages take.
      if (rounds > 2) await timer.sleep(claimLimits.retryMs, done);
      const conflict = await this.conflictOf(claim);
      if (done.aborted) return unknown('its caller is gone');
      // Another claimant may have been let pass since the registrars answered.
      if (!conflict && !claim.yieldedTo) return this.hold(claim, rounds);
      const answer =
        !conflict || conflict === 'unclear'
          ? this.giveUpAfter(startedAt + claimLimits.unansweredMs, claim)
          : await this.otherHolder.resolve(conflict, claim, done);
      claim.state = 'claiming';
      claim.holder = undefined;
      if (answer) return answer;
    }
  }

  /** Whether an entry that asks for a batch that is open here waits for it, takes it over, or asks another entry. */
  decideFollow(
    asker: Link,
    { batch, claim: number, isHeld }: FollowBatch,
  ): 'wait' | 'take' | BatchHolder {
    const claim = this.own.get(batch);
    if (!claim || claim.state === 'held') return 'wait';
    const { instance, incarnation } = asker.peer;
    if (claim.state === 'following') {
      return claim.holder && claim.holder.incarnation !== incarnation ? claim.holder : 'take';
    }
    // Of two entries that claim a batch at the same time, the one whose name comes first goes on.
    if (!isHeld && this.opts.instance < instance) return 'wait';
    claim.yieldedTo = create(BatchHolderSchema, { instance, incarnation, claim: number });
    return 'take';
  }

  /** Takes the claim of another entry, as a registrar. */
  handleClaim(link: Link, claim: ClaimBatch): void {
    link.send({ case: 'batchClaimed', value: this.registrars.recordClaim(link.peer, claim) });
  }

  /** Takes a registrar's answer. */
  handleClaimResponse(link: Link, answer: BatchClaimed): void {
    this.registrars.peers.byLink(link)?.handleClaimResponse(answer);
  }

  /** Takes a holder's answer. */
  handleFollowResponse(link: Link, state: BatchFollowed): void {
    this.registrars.peers.byLink(link)?.handleFollowResponse(state);
  }

  private hold(claim: LocalClaim, rounds: number): 'held' {
    claim.state = 'held';
    if (rounds > 1) {
      const registrars = [...claim.registrars];
      this.opts.log.info('a claim stands', { request: claim.batch, rounds, registrars });
    }
    return 'held';
  }

  /** Most registrars do not answer. After the time, it is this entry that is out of reach: others may serve the batch. */
  private giveUpAfter(deadline: number, claim: LocalClaim): BatchFollowed | undefined {
    const { timer, metrics } = this.opts;
    if (timer.now() < deadline) return undefined;
    metrics?.add('batch_claims_total', 1, 'given_up');
    const reason = 'too few other entries can be reached to be sure that none runs it';
    if (claim.isContested) return unknown(reason);
    const retryAfterMs = claimLimits.comeBackMs;
    return create(BatchFollowedSchema, { outcome: Outcome.NOT_RUN, reason, retryAfterMs });
  }

  /** Before it is linked to others, an entry does not know what they hold. */
  private async linksOpen(done: AbortSignal): Promise<void> {
    const { timer } = this.opts;
    const leftMs = this.startedAt + claimLimits.settleMs - timer.now();
    if (leftMs <= 0 || this.settled.signal.aborted) return;
    await timer.sleep(leftMs, AbortSignal.any([done, this.settled.signal]));
  }

  /** Claims the batch at its registrars. Returns what stands against it; `unclear` when too few have answered. */
  private async conflictOf(claim: LocalClaim): Promise<ClaimConflict | 'unclear' | undefined> {
    if (!claim.yieldedTo) {
      const end = await this.round(claim);
      if (end || !claim.yieldedTo) return end;
    }
    const { yieldedTo: holder } = claim;
    const goneMs = holder && this.registrars.goneMs(holder.incarnation);
    return holder && { holder, registrar: this.opts.instance, goneMs, silentMs: 0 };
  }

  private async round(claim: LocalClaim): Promise<ClaimConflict | 'unclear' | undefined> {
    const { timer, log, metrics } = this.opts;
    const { registrars } = this;
    const { registrarCandidates: members } = registrars.peers;
    this.held.membersChanged(members.keys());
    claim.number = registrars.nextNumber();
    claim.registrars.clear();
    const entries = registrars.choose(claim.batch, members);
    const asked = entries.map((entry) => {
      const peer = members.get(entry);
      return {
        entry,
        isAwaited: !peer?.isSlow,
        answer: registrars.requestClaim(entry, peer, claim),
      };
    });
    const end = await ClaimRound.run(timer, asked, () => {
      const now = registrars.peers.registrarCandidates;
      const chosen = registrars.choose(claim.batch, now);
      return chosen.every(
        (each, at) => each === entries[at] && now.get(each) === members.get(each),
      );
    });
    if (end === 'unclear') {
      log.info('a claim is not answered by most registrars', { request: claim.batch, entries });
      metrics?.add('batch_claims_total', 1, 'unanswered');
    }
    return end;
  }
}

function unknown(reason: string): BatchFollowed {
  return create(BatchFollowedSchema, { outcome: Outcome.UNKNOWN, reason });
}
