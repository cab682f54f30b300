import { toJsonString } from '@bufbuild/protobuf';
import Backoff from '../core/Backoff';
import isMember from '../core/isMember';
import { MemberSchema, ViewSchema, type Member, type View } from '../gen/magnoliakeel/v1/peer_pb';
import updateKey from '../store/updateKey';
import type StoreItem from '../store/StoreItem';
import storeKeys from './storeKeys';
import LeasedKey from './LeasedKey';
import type MembershipOptions from './MembershipOptions';
import nextView from './nextView';
import parseView from './parseView';

/** Previous views are renewal this much longer than the retention, to allow for clock skew. */
const PREVIOUS_VIEW_MARGIN_MS = 600_000;
/**
 * Each member in rank order waits this much longer before it proposes a removal, so that usually only one
 * proposes it.
 */
const PROPOSAL_STAGGER_MS = 200;
/** How often suspicion is checked while a member has no lease. */
const SUSPICION_POLL_MS = 500;
const FIRST_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5_000;
const MAX_UPDATE_ATTEMPTS = 5;

/**
 * The group membership of one entry.
 *
 * Failure detection and membership are separate, after Schiper and Toueg, "From
 * Set Membership to Group Membership: A Separation of Concerns". Each entry
 * suspects others on its own, and a wrong suspicion costs little. Membership is
 * agreed: a view changes only by compare-and-swap against the view that the
 * change was computed from, so a change takes effect in the context it was
 * issued in or not at all (their property S3). A member is removed when its
 * lease in the store has expired and the proposer suspects it.
 *
 * An incarnation joins once. After its removal it never joins again; the
 * process has to restart with a new incarnation.
 */
export default class Membership {
  private readonly leasedKey: LeasedKey;

  private readonly retryBackoff: Backoff;

  private readonly removalBackoff: Backoff;

  private readonly stopController = new AbortController();

  private wakeController = new AbortController();

  /** Incarnations whose lease keys the store holds; undefined until the store was first listed. */
  private liveIncarnations: ReadonlySet<string> | undefined;

  private task: Promise<'stopped' | 'removed'> | undefined;

  private isLeaving = false;

  private wasMember = false;

  private isRemoved = false;

  /** Whether a stored view read since the lease key was last written contains this entry. */
  private isInStoredView = false;

  private renewAt = 0;

  private proposeAt: number | undefined;

  private constructor(private readonly options: MembershipOptions) {
    const { store, random, self, leaseMs } = options;
    const key = storeKeys.entryPrefix + self.incarnation;
    this.leasedKey = LeasedKey.of(store, key, toJsonString(MemberSchema, self), leaseMs);
    this.retryBackoff = Backoff.of(
      FIRST_RETRY_DELAY_MS,
      Math.min(MAX_RETRY_DELAY_MS, leaseMs / 3),
      random,
    );
    this.removalBackoff = Backoff.of(SUSPICION_POLL_MS, MAX_RETRY_DELAY_MS, random);
  }

  /** Creates the membership of an entry that has not joined the group yet. */
  static create(options: MembershipOptions): Membership {
    const membership = new Membership(options);
    membership.handleView(options.views.current);
    options.views.subscribe((view) => membership.handleView(view));
    return membership;
  }

  /** Whether the newest view contains this entry. */
  get isJoined(): boolean {
    return this.isMemberOf(this.options.views.current);
  }

  /**
   * Marks this entry as leaving in the view: it stays a member, so that it can
   * finish its jobs, but owns no new ones. Gives up after `MAX_UPDATE_ATTEMPTS`.
   */
  async markLeaving(): Promise<void> {
    const { self } = this.options;
    await this.updateView(async (stored) => {
      if (!this.isMemberOf(stored)) return undefined;
      return stored.members.map((member) =>
        member.incarnation === self.incarnation ? { ...member, leaving: true } : member,
      );
    });
  }

  /** Updates the set of incarnations whose lease keys the store holds. */
  setLiveIncarnations(liveIncarnations: ReadonlySet<string>): void {
    this.liveIncarnations = liveIncarnations;
    this.wake();
  }

  /**
   * Joins, renews the lease and removes members whose leases have expired. Resolves
   * to `removed` once a newer view no longer contains this entry, after all subscribers
   * of the view were notified; otherwise to `stopped` after the signal or `leave`.
   */
  run(signal: AbortSignal): Promise<'stopped' | 'removed'> {
    this.task = this.runLoop(signal);
    return this.task;
  }

  /**
   * Leaves the view and revokes the lease, with a bounded number of attempts.
   * `isGraceful`: no job is open here and the other entries have all its records.
   */
  async leave(isGraceful = false): Promise<void> {
    const { incarnation } = this.options.self;
    this.isLeaving = true;
    this.stop();
    await this.task;
    await this.updateView(
      async (view) =>
        this.isMemberOf(view) ? membersWithout(view, new Set([incarnation])) : undefined,
      isGraceful ? [incarnation] : [],
    );
    const revoked = await this.leasedKey.revoke();
    if (revoked.isErr()) await this.leasedKey.revoke();
  }

  private async runLoop(signal: AbortSignal): Promise<'stopped' | 'removed'> {
    const stop = (): void => this.stop();
    signal.addEventListener('abort', stop, { once: true });
    if (signal.aborted) this.stop();
    while (!this.stopController.signal.aborted && !this.isRemoved) {
      this.wakeController = new AbortController();
      await this.runOnce();
      if (this.stopController.signal.aborted || this.isRemoved) break;
      await this.options.timer.sleep(this.msUntilNextRun(), this.wakeController.signal);
    }
    signal.removeEventListener('abort', stop);
    return this.isRemoved && !this.isLeaving ? 'removed' : 'stopped';
  }

  private async runOnce(): Promise<void> {
    if (this.options.timer.now() >= this.renewAt) await this.renewLease();
    if (this.isInStoredView && !this.isRemoved) await this.removeExpired();
  }

  /** Renews the lease. After each newly granted lease, makes sure that the view contains this entry. */
  private async renewLease(): Promise<void> {
    const renewal = await this.leasedKey.renew();
    this.options.onLeaseRenewal?.(renewal.isOk());
    if (renewal.isOk() && renewal.value === 'written') this.isInStoredView = false;
    if (renewal.isOk() && !this.isInStoredView && !this.stopController.signal.aborted)
      await this.join();
    const isSettled = renewal.isOk() && this.isInStoredView;
    if (isSettled) this.retryBackoff.reset();
    const delayMs = isSettled ? this.options.leaseMs / 3 : this.retryBackoff.next();
    this.renewAt = this.options.timer.now() + delayMs;
  }

  private async join(): Promise<void> {
    const { self } = this.options;
    const view = await this.updateView(async (stored) => {
      if (this.isMemberOf(stored) || this.isRemoved || this.isLeaving) return undefined;
      return [...stored.members.filter(({ instance }) => instance !== self.instance), self];
    });
    this.isInStoredView = view !== undefined && this.isMemberOf(view);
  }

  private async removeExpired(): Promise<void> {
    const { views, timer, random } = this.options;
    const suspects = this.suspects(views.current);
    if (suspects.length === 0) {
      this.proposeAt = undefined;
      this.removalBackoff.reset();
      return;
    }
    this.proposeAt ??=
      timer.now() +
      this.rank(suspects) * PROPOSAL_STAGGER_MS +
      random.jitter(PROPOSAL_STAGGER_MS / 2);
    if (timer.now() < this.proposeAt) return;
    await this.updateView(async (view) => {
      if (!this.isMemberOf(view)) return undefined;
      const expired = await this.confirmExpired(view);
      return expired.size > 0 ? membersWithout(view, expired) : undefined;
    });
    this.proposeAt = timer.now() + this.removalBackoff.next();
  }

  /** Members that this entry suspects and whose lease keys are not in the store as last reported. */
  private suspects(view: View): readonly Member[] {
    return this.membersWithoutLease(view).filter(({ incarnation }) =>
      this.options.isSuspected(incarnation),
    );
  }

  private membersWithoutLease(view: View): readonly Member[] {
    const { liveIncarnations } = this;
    if (!liveIncarnations) return [];
    return view.members.filter(
      ({ incarnation }) =>
        incarnation !== this.options.self.incarnation && !liveIncarnations.has(incarnation),
    );
  }

  /** The suspects whose lease keys are still missing when read from the store again. */
  private async confirmExpired(view: View): Promise<ReadonlySet<string>> {
    const { store, isSuspected } = this.options;
    const expired = new Set<string>();
    await Promise.all(
      this.suspects(view).map(async ({ incarnation }) => {
        const leaseKey = await store.get(storeKeys.entryPrefix + incarnation);
        if (leaseKey.isOk() && leaseKey.value === undefined) expired.add(incarnation);
      }),
    );
    return new Set([...expired].filter(isSuspected));
  }

  private rank(suspects: readonly Member[]): number {
    const others = this.options.views.current.members.filter(
      (member) => !suspects.includes(member),
    );
    return others.findIndex(({ incarnation }) => incarnation === this.options.self.incarnation);
  }

  /**
   * Replaces the stored view by one with the members that `chooseMembers` returns, unless it
   * returns none. Returns the view that the store holds afterwards, if that is known.
   */
  private async updateView(
    chooseMembers: (view: View) => Promise<readonly Member[] | undefined>,
    departed: readonly string[] = [],
  ): Promise<View | undefined> {
    const { store, timer, random, retentionMs } = this.options;
    const result = await updateKey({
      store,
      timer,
      random,
      key: storeKeys.view,
      maxAttempts: MAX_UPDATE_ATTEMPTS,
      signal: this.isLeaving ? undefined : this.stopController.signal,
      computeValue: async (item) => {
        const view = this.adoptStored(item);
        const members = view && (await chooseMembers(view));
        if (!members) return undefined;
        const previousViewsMs = retentionMs() + PREVIOUS_VIEW_MARGIN_MS;
        return toJsonString(
          ViewSchema,
          nextView(view, members, timer.wall(), previousViewsMs, departed),
        );
      },
    });
    return result.isOk() ? this.adoptStored(result.value) : undefined;
  }

  /**
   * Parses and adopts the stored view. Undefined if it cannot be parsed or is
   * older than a view already known: nothing is written to a store that has
   * lost a view.
   */
  private adoptStored(item: StoreItem | undefined): View | undefined {
    const { views } = this.options;
    if (!item) return views.number === 0n ? views.current : undefined;
    const view = parseView(item.value).unwrapOr(undefined);
    if (!view) return undefined;
    views.adopt(view);
    return view.number === views.number ? view : undefined;
  }

  private handleView(view: View): void {
    const { incarnation } = this.options.self;
    if (this.isMemberOf(view)) {
      this.wasMember = true;
    } else if (
      this.wasMember ||
      view.past.some((past) => past.incarnations.includes(incarnation))
    ) {
      this.isRemoved = true;
    }
    this.wake();
  }

  private isMemberOf(view: View): boolean {
    return isMember(view, this.options.self.incarnation);
  }

  private msUntilNextRun(): number {
    const { timer, views } = this.options;
    const now = timer.now();
    const times = [this.renewAt];
    if (this.isInStoredView && this.membersWithoutLease(views.current).length > 0) {
      times.push(this.proposeAt ?? now + SUSPICION_POLL_MS);
    }
    return Math.max(1, Math.min(...times) - now);
  }

  private stop(): void {
    this.stopController.abort();
    this.wake();
  }

  private wake(): void {
    this.wakeController.abort();
  }
}

function membersWithout(view: View, incarnations: ReadonlySet<string>): readonly Member[] {
  return view.members.filter(({ incarnation }) => !incarnations.has(incarnation));
}
