import { create } from '@bufbuild/protobuf';
import ownerOf from '../core/ownerOf';
import eligibleOwners from '../core/eligibleOwners';
import {
  ClaimRequestSchema,
  type ClaimResponse,
  type Fenced,
  type HeldJob,
  type RosterItem,
  type Settlement,
  type Testimony,
  TestimonySchema,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import FenceConfirmations from './FenceConfirmations';
import type JobInquiry from './JobInquiry';
import type FormerOwner from './FormerOwner';
import formerDeputies from './formerDeputies';
import formerOwners from './formerOwners';
import type RecoveredState from './RecoveredState';
import type RecoveryOptions from './RecoveryOptions';
import Settlements from './Settlements';
import SidecarRoster from './SidecarRoster';

/**
 * Determines the state of a job from before this entry owned it, by asking the
 * former owners that are still members and the sidecars, which see every start.
 * The design is in `docs/design/ownership.md`.
 */
export default class Recovery {
  readonly roster = SidecarRoster.create();

  readonly settlements = Settlements.create();

  readonly confirmations = FenceConfirmations.create();

  private readonly rosterSources = new Set<string>();

  private constructor(private readonly options: RecoveryOptions) {}

  /** Creates the recovery of an entry that has received nothing yet. */
  static create(options: RecoveryOptions): Recovery {
    return new Recovery(options);
  }

  /** Merges another entry's roster and returns the items that were new. */
  mergeRoster(entry: string, items: readonly RosterItem[]): RosterItem[] {
    this.rosterSources.add(entry);
    const newItems = this.roster.merge(items);
    this.confirmations.notifyChange();
    return newItems;
  }

  /** Adds a settlement; returns whether it was new. */
  addSettlement(settlement: Settlement): boolean {
    const isNew = this.settlements.add(settlement);
    if (isNew) this.confirmations.notifyChange();
    return isNew;
  }

  /** Handles a sidecar's confirmation of a view. */
  handleFenced(sidecar: string, fenced: Fenced): void {
    this.confirmations.add(sidecar, fenced);
  }

  /** Determines the state of a job that has no record here and was created at a wall-clock time, in ms. */
  async recover(job: string, createdMs: number): Promise<RecoveredState> {
    const sinceMs = createdMs - this.options.clockSkewMs;
    const owners = formerOwners(this.options.views.current, job, sinceMs, this.options.self);
    const [answers, cancelled] = await Promise.all([
      this.askFormerOwners(job, owners),
      this.askFormerDeputies(job, sinceMs),
    ]);
    const state = answers.find(isHeldElsewhere) ?? cancelled ?? answers.find(isRecoveredState);
    if (state) return state;
    const responses = answers.filter(isClaimResponse);
    const testimonies = responses.flatMap((response) => response.testimonies);
    const named = responses.flatMap((response) => response.named);
    const inquiry = { job, createdMs, testimonies, named };
    const removed = owners.filter((owner) => owner.address === undefined && !owner.departed);
    const uncertain = await Promise.all(removed.map((owner) => this.isUncertain(inquiry, owner)));
    return this.collectEvidence(inquiry, uncertain.includes(true) || this.settlements.affects(job));
  }

  /** What sidecars have reported to this entry about a job while it was the owner, for the job's next owner. */
  testimonyFor(job: string): { testimonies: Testimony[]; named: string[] } {
    const testimonies = this.confirmations.sidecars.flatMap((sidecar) => {
      const number = this.confirmations
        .confirmedViews(sidecar)
        .findLast((view) => this.wasOwnedIn(view, job));
      if (number === undefined) return [];
      return [create(TestimonySchema, { sidecar, viewNumber: number })];
    });
    return { testimonies, named: this.confirmations.sidecarsWithJob(job) };
  }

  /** Drops what only concerns jobs that can no longer be submitted. */
  expire(wallMs: number): void {
    this.roster.expire(wallMs);
    this.settlements.expire(wallMs);
    this.confirmations.retain(new Set(this.roster.all().map(({ incarnation }) => incarnation)));
  }

  /** Asks the former owners that are still members: each answer is the state itself, or what the owner knows of it. */
  private askFormerOwners(
    job: string,
    owners: readonly FormerOwner[],
  ): Promise<(RecoveredState | ClaimResponse)[]> {
    const view = this.options.views.current;
    const members = owners.filter((owner) => owner.address !== undefined);
    return Promise.all(members.map((owner) => this.askFormerOwner(job, owner, view)));
  }

  /** Asks the deputies of owners that were removed; returns the one that has the job as cancelled, if any. */
  private async askFormerDeputies(
    job: string,
    sinceMs: number,
  ): Promise<RecoveredState | undefined> {
    const { views, self } = this.options;
    const deputies = formerDeputies(views.current, job, sinceMs, self);
    const answers = await Promise.all(
      deputies.map((deputy) => this.askFormerOwner(job, deputy, views.current)),
    );
    return answers.find(isHeldElsewhere);
  }

  private async askFormerOwner(
    job: string,
    { incarnation, address }: Pick<FormerOwner, 'incarnation' | 'address'>,
    view: View,
  ): Promise<RecoveredState | ClaimResponse> {
    const req = create(ClaimRequestSchema, { job, view, owner: incarnation });
    const settled = new AbortController();
    const { network, timer, witnessMs } = this.options;
    const timeout = timer.sleep(witnessMs, settled.signal).then(() => undefined);
    const reply = await Promise.race([network.claim(address!, req), timeout]);
    settled.abort();
    if (!reply || reply.isErr()) {
      const why = reply ? reply.error.reason : `no answer within ${witnessMs} ms`;
      return { kind: 'unavailable', reason: `the job's former owner can't be asked: ${why}` };
    }
    if (reply.value.stranger) {
      return {
        kind: 'unavailable',
        reason: 'the job’s former owner was replaced; its removal is awaited',
      };
    }
    return reply.value.held ? { kind: 'held', incarnation } : reply.value;
  }

  /**
   * Waits until every sidecar that may have started tasks for a removed owner
   * has reported the jobs that it knows of that owner. Resolves to true for a
   * job that the owner may have started if a sidecar was lost before it could
   * report, unless the owner has settled that loss.
   */
  private async isUncertain(inquiry: JobInquiry, owner: FormerOwner): Promise<boolean> {
    const { timer, witnessMs, clockSkewMs } = this.options;
    const { job, createdMs } = inquiry;
    const deadline = timer.now() + witnessMs;
    let pending = this.pendingWitnesses(inquiry, owner);
    while (this.shouldKeepWaiting(job, owner, pending) && timer.now() < deadline) {
      const settled = new AbortController();
      await Promise.race([
        this.confirmations.nextChange(),
        timer.sleep(deadline - timer.now(), settled.signal),
      ]);
      settled.abort();
      pending = this.pendingWitnesses(inquiry, owner);
    }
    const mayHaveOwned = createdMs <= owner.removedMs! + clockSkewMs;
    return mayHaveOwned && (pending.length > 0 || !this.hasRosterCovering(owner));
  }

  /** Whether a pending witness may still confirm, or a roster may still arrive. */
  private shouldKeepWaiting(
    job: string,
    owner: FormerOwner,
    pending: readonly RosterItem[],
  ): boolean {
    if (!this.wasOwnedIn(this.options.views.number, job)) return false;
    if (!this.hasRosterCovering(owner)) return true;
    const lostBefore = this.options.timer.wall() - this.options.witnessMs;
    return pending.some((item) => !item.ended || Number(item.seenMs) > lostBefore);
  }

  private pendingWitnesses(inquiry: JobInquiry, owner: FormerOwner): RosterItem[] {
    return this.roster
      .activeSince(inquiry.createdMs - this.options.clockSkewMs)
      .filter(({ incarnation }) => !this.hasReported(incarnation, inquiry, owner))
      .filter(({ incarnation }) => !this.settlements.has(incarnation, owner.incarnation));
  }

  /**
   * Whether a sidecar has reported what it started for a removed owner, to this
   * entry or to a former owner, in a view in which the receiver owned the job.
   * Once true, this stays true.
   */
  private hasReported(
    sidecar: string,
    inquiry: JobInquiry,
    { removedInView }: FormerOwner,
  ): boolean {
    const { job, testimonies } = inquiry;
    const hasReportedHere = this.confirmations
      .confirmedViews(sidecar)
      .some((number) => number >= removedInView! && this.wasOwnedIn(number, job));
    return (
      hasReportedHere ||
      testimonies.some((each) => each.sidecar === sidecar && each.viewNumber >= removedInView!)
    );
  }

  private wasOwnedIn(number: bigint, job: string): boolean {
    const { views, self } = this.options;
    const { current } = views;
    const owners =
      number === current.number
        ? eligibleOwners(current)
        : current.past.find((past) => past.number === number)?.incarnations;
    return owners !== undefined && ownerOf(job, owners) === self;
  }

  /** Whether the roster includes that of a process that was a member together with the owner. */
  private hasRosterCovering(owner: FormerOwner): boolean {
    return this.options.views.current.past.some((past) => {
      const members = [...past.incarnations, ...past.leaving];
      if (!members.includes(owner.incarnation)) return false;
      return members.some((name) => name === this.options.self || this.rosterSources.has(name));
    });
  }

  private async collectEvidence(
    { job, named }: JobInquiry,
    doubt: boolean,
  ): Promise<RecoveredState> {
    const sidecars = [...new Set([...this.confirmations.sidecarsWithJob(job), ...named])];
    if (sidecars.length === 0 && !doubt) return { kind: 'fresh' };
    const reports = await Promise.all(sidecars.map((name) => this.options.adopt(name, job)));
    const tasks = reports.flatMap((report, at) =>
      (report?.tasks ?? []).map((held) => ({ sidecar: sidecars[at]!, held })),
    );
    const digest = reports.find((report): report is HeldJob => report !== undefined)?.digest;
    return { kind: 'continued', digest, tasks, doubt: doubt || reports.includes(undefined) };
  }
}

function isRecoveredState(answer: RecoveredState | ClaimResponse): answer is RecoveredState {
  return 'kind' in answer;
}

function isClaimResponse(answer: RecoveredState | ClaimResponse): answer is ClaimResponse {
  return !isRecoveredState(answer);
}

function isHeldElsewhere(answer: RecoveredState | ClaimResponse): answer is RecoveredState {
  return isRecoveredState(answer) && answer.kind === 'held';
}
