import { create } from '@bufbuild/protobuf';
import ownerOf from '../core/ownerOf';
import ownersIn from '../core/ownersIn';
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
import type PastOwner from './PastOwner';
import pastOwners from './pastOwners';
import type RecoveredState from './RecoveredState';
import type RecoveryOptions from './RecoveryOptions';
import Settlements from './Settlements';
import SidecarRoster from './SidecarRoster';

/**
 * Finds out what happened to a job before this entry owned it, from the past
 * owners that are still members and from the sidecars that saw every start.
 * The design is in `docs/design/ownership.md`.
 */
export default class Recovery {
  readonly roster = SidecarRoster.create();

  readonly settlements = Settlements.create();

  readonly confirmations = FenceConfirmations.create();

  private readonly informants = new Set<string>();

  private constructor(private readonly options: RecoveryOptions) {}

  /** Creates the recovery of an entry that has heard nothing yet. */
  static create(options: RecoveryOptions): Recovery {
    return new Recovery(options);
  }

  /** Takes another entry's roster and returns what was new in it. */
  mergeRoster(entry: string, items: readonly RosterItem[]): RosterItem[] {
    this.informants.add(entry);
    const news = this.roster.merge(items);
    this.confirmations.notifyChange();
    return news;
  }

  /** Takes a settlement and says whether it was new. */
  addSettlement(settlement: Settlement): boolean {
    const isNew = this.settlements.add(settlement);
    if (isNew) this.confirmations.notifyChange();
    return isNew;
  }

  /** Takes a sidecar's confirmation of a view. */
  handleFenced(sidecar: string, fenced: Fenced): void {
    this.confirmations.add(sidecar, fenced);
  }

  /** Tells what is known of a job without a record here that was created at a wall-clock time. */
  async recover(job: string, createdMs: number): Promise<RecoveredState> {
    const sinceMs = createdMs - this.options.clockSkewMs;
    const owners = pastOwners(this.options.views.current, job, sinceMs, this.options.self);
    const claims = await this.claim(job, owners);
    const verdict = claims.find(isHeld) ?? claims.find(isVerdict);
    if (verdict) return verdict;
    const told = claims.filter(isTold);
    const testimonies = told.flatMap((claim) => claim.testimonies);
    const named = told.flatMap((claim) => claim.named);
    const inquiry = { job, createdMs, testimonies, named };
    const removed = owners.filter((owner) => owner.address === undefined && !owner.departed);
    const doubts = await Promise.all(removed.map((owner) => this.inDoubt(inquiry, owner)));
    return this.collect(inquiry, doubts.includes(true) || this.settlements.affects(job));
  }

  /** What sidecars have told this entry of a job while it was its own, for the job's next owner. */
  testimonyFor(job: string): { testimonies: Testimony[]; named: string[] } {
    const testimonies = this.confirmations.sidecars.flatMap((sidecar) => {
      const number = this.confirmations
        .confirmedViews(sidecar)
        .findLast((view) => this.ownedIn(view, job));
      if (number === undefined) return [];
      return [create(TestimonySchema, { sidecar, viewNumber: number })];
    });
    return { testimonies, named: this.confirmations.sidecarsWithJob(job) };
  }

  /** Forgets what no job that can still be submitted depends on. */
  expire(wallMs: number): void {
    this.roster.expire(wallMs);
    this.settlements.expire(wallMs);
    this.confirmations.retain(new Set(this.roster.all().map(({ incarnation }) => incarnation)));
  }

  /** Asks the past owners that are still members: each gives a verdict or tells what it heard. */
  private claim(
    job: string,
    owners: readonly PastOwner[],
  ): Promise<(RecoveredState | ClaimResponse)[]> {
    const view = this.options.views.current;
    const asked = owners.filter((owner) => owner.address !== undefined);
    return Promise.all(asked.map((owner) => this.claimOne(job, owner, view)));
  }

  private async claimOne(
    job: string,
    { incarnation, address }: PastOwner,
    view: View,
  ): Promise<RecoveredState | ClaimResponse> {
    const req = create(ClaimRequestSchema, { job, view, owner: incarnation });
    const over = new AbortController();
    const { network, timer, witnessMs } = this.options;
    const late = timer.sleep(witnessMs, over.signal).then(() => undefined);
    const reply = await Promise.race([network.claim(address!, req), late]);
    over.abort();
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
   * has named the jobs that it knows of it. True when one is lost that did not
   * and that the owner had not settled, for jobs that are old enough.
   */
  private async inDoubt(inquiry: JobInquiry, owner: PastOwner): Promise<boolean> {
    const { timer, witnessMs, clockSkewMs } = this.options;
    const { job, createdMs } = inquiry;
    const deadline = timer.now() + witnessMs;
    let open = this.openWitnesses(inquiry, owner);
    while (this.isWorthWaiting(job, owner, open) && timer.now() < deadline) {
      const over = new AbortController();
      await Promise.race([
        this.confirmations.nextChange(),
        timer.sleep(deadline - timer.now(), over.signal),
      ]);
      over.abort();
      open = this.openWitnesses(inquiry, owner);
    }
    const oldEnough = createdMs <= owner.removedMs! + clockSkewMs;
    return oldEnough && (open.length > 0 || !this.isInformed(owner));
  }

  /** Whether an open witness may still confirm, or a roster may still come. */
  private isWorthWaiting(job: string, owner: PastOwner, open: readonly RosterItem[]): boolean {
    if (!this.ownedIn(this.options.views.number, job)) return false;
    if (!this.isInformed(owner)) return true;
    const longAgo = this.options.timer.wall() - this.options.witnessMs;
    return open.some((item) => !item.ended || Number(item.seenMs) > longAgo);
  }

  private openWitnesses(inquiry: JobInquiry, owner: PastOwner): RosterItem[] {
    return this.roster
      .activeSince(inquiry.createdMs - this.options.clockSkewMs)
      .filter(({ incarnation }) => !this.hasNamed(incarnation, inquiry, owner))
      .filter(({ incarnation }) => !this.settlements.has(incarnation, owner.incarnation));
  }

  /**
   * Whether a sidecar has named what it started for a removed owner, to this
   * entry or to a former owner, in a view in which the job was the hearer's.
   * That stays true.
   */
  private hasNamed(sidecar: string, inquiry: JobInquiry, { removedIn }: PastOwner): boolean {
    const { job, testimonies } = inquiry;
    const isHeard = this.confirmations
      .confirmedViews(sidecar)
      .some((number) => number >= removedIn! && this.ownedIn(number, job));
    return (
      isHeard ||
      testimonies.some((told) => told.sidecar === sidecar && told.viewNumber >= removedIn!)
    );
  }

  private ownedIn(number: bigint, job: string): boolean {
    const { views, self } = this.options;
    const { current } = views;
    const owners =
      number === current.number
        ? ownersIn(current)
        : current.past.find((past) => past.number === number)?.incarnations;
    return owners !== undefined && ownerOf(job, owners) === self;
  }

  /** Whether the roster comes from a process that was a member together with the owner. */
  private isInformed(owner: PastOwner): boolean {
    return this.options.views.current.past.some((past) => {
      const members = [...past.incarnations, ...past.leaving];
      if (!members.includes(owner.incarnation)) return false;
      return members.some((name) => name === this.options.self || this.informants.has(name));
    });
  }

  private async collect({ job, named }: JobInquiry, doubt: boolean): Promise<RecoveredState> {
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

function isVerdict(claim: RecoveredState | ClaimResponse): claim is RecoveredState {
  return 'kind' in claim;
}

function isTold(claim: RecoveredState | ClaimResponse): claim is ClaimResponse {
  return !isVerdict(claim);
}

function isHeld(claim: RecoveredState | ClaimResponse): claim is RecoveredState {
  return isVerdict(claim) && claim.kind === 'held';
}
