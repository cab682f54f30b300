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

/** Past views outlast the retention by this much, for clocks that differ. */
const PAST_MARGIN_MS = 600_000;
/** How much later each next member proposes a removal, so that one proposal is the rule. */
const STAGGER_MS = 200;
/** How often suspicion is looked at while a member's lease is gone. */
const SUSPICION_POLL_MS = 500;
const FIRST_RETRY_MS = 200;
const RETRY_LIMIT_MS = 5_000;
const CHANGE_ATTEMPTS = 5;

/**
 * One entry's place in the view of all entries.
 *
 * Two questions are kept apart, after Schiper and Toueg, "From Set Membership
 * to Group Membership: A Separation of Concerns": whether a member seems up,
 * and whether it is a member. Each entry suspects others on its own, and being
 * wrong costs little. Membership is agreed: it changes only by compare-and-swap
 * against the view that the change was computed from, so a change takes effect
 * in the context it was issued in or not at all (their property S3). A member
 * is removed when both its lease in the store is gone and the proposer suspects it.
 *
 * An incarnation joins once. When it finds itself removed, it never comes back;
 * the process has to start again with a new one.
 */
export default class Membership {
  private readonly lease: LeasedKey;

  private readonly retries: Backoff;

  private readonly removals: Backoff;

  private readonly ending = new AbortController();

  private waker = new AbortController();

  /** Incarnations whose lease keys the store holds; undefined until first observed. */
  private present: ReadonlySet<string> | undefined;

  private task: Promise<'stopped' | 'removed'> | undefined;

  private leaving = false;

  private wasMember = false;

  private removed = false;

  /** Whether the stored view was seen to name this entry since its key was last written. */
  private confirmed = false;

  private dueAt = 0;

  private proposeAt: number | undefined;

  private constructor(private readonly options: MembershipOptions) {
    const { store, random, self, leaseMs } = options;
    const key = storeKeys.entries + self.incarnation;
    this.lease = LeasedKey.of(store, key, toJsonString(MemberSchema, self), leaseMs);
    this.retries = Backoff.of(FIRST_RETRY_MS, Math.min(RETRY_LIMIT_MS, leaseMs / 3), random);
    this.removals = Backoff.of(SUSPICION_POLL_MS, RETRY_LIMIT_MS, random);
  }

  /** Creates the membership of an entry that has not joined yet. */
  static create(options: MembershipOptions): Membership {
    const membership = new Membership(options);
    membership.meet(options.views.current);
    options.views.subscribe((view) => membership.meet(view));
    return membership;
  }

  /** Whether the newest view names this entry. */
  get isJoined(): boolean {
    return this.isIn(this.options.views.current);
  }

  /**
   * Marks this entry as leaving in the view: it stays a member, so that it can
   * finish its jobs, but owns no further ones. Gives up after some attempts.
   */
  async markLeaving(): Promise<void> {
    const { self } = this.options;
    await this.changeView(async (stored) => {
      if (!this.isIn(stored)) return undefined;
      return stored.members.map((member) =>
        member.incarnation === self.incarnation ? { ...member, leaving: true } : member,
      );
    });
  }

  /** Takes note of the incarnations whose lease keys the store holds. */
  setLiveIncarnations(present: ReadonlySet<string>): void {
    this.present = present;
    this.wake();
  }

  /**
   * Joins, stays a member and removes lapsed ones. Ends with `removed` when a
   * newer view leaves this entry out (all subscribers of the view have been
   * told by then), else with `stopped` after the signal or `leave`.
   */
  run(signal: AbortSignal): Promise<'stopped' | 'removed'> {
    this.task = this.serve(signal);
    return this.task;
  }

  /**
   * Leaves the view and ends the lease, in a bounded number of tries. In good
   * order means that no job is open here and the others have all records.
   */
  async leave(inGoodOrder = false): Promise<void> {
    const { incarnation } = this.options.self;
    this.leaving = true;
    this.end();
    await this.task;
    await this.changeView(
      async (view) => (this.isIn(view) ? without(view, new Set([incarnation])) : undefined),
      inGoodOrder ? [incarnation] : [],
    );
    const revoked = await this.lease.revoke();
    if (revoked.isErr()) await this.lease.revoke();
  }

  private async serve(signal: AbortSignal): Promise<'stopped' | 'removed'> {
    const end = (): void => this.end();
    signal.addEventListener('abort', end, { once: true });
    if (signal.aborted) this.end();
    while (!this.ending.signal.aborted && !this.removed) {
      this.waker = new AbortController();
      await this.turn();
      if (this.ending.signal.aborted || this.removed) break;
      await this.options.timer.sleep(this.untilNextTurn(), this.waker.signal);
    }
    signal.removeEventListener('abort', end);
    return this.removed && !this.leaving ? 'removed' : 'stopped';
  }

  private async turn(): Promise<void> {
    if (this.options.timer.now() >= this.dueAt) await this.stay();
    if (this.confirmed && !this.removed) await this.removeLapsed();
  }

  /** Keeps the lease, and after each new one makes sure that the view names this entry. */
  private async stay(): Promise<void> {
    const kept = await this.lease.renew();
    this.options.onLeaseRenewal?.(kept.isOk());
    if (kept.isOk() && kept.value === 'written') this.confirmed = false;
    if (kept.isOk() && !this.confirmed && !this.ending.signal.aborted) await this.join();
    const settled = kept.isOk() && this.confirmed;
    if (settled) this.retries.reset();
    const delayMs = settled ? this.options.leaseMs / 3 : this.retries.next();
    this.dueAt = this.options.timer.now() + delayMs;
  }

  private async join(): Promise<void> {
    const { self } = this.options;
    const view = await this.changeView(async (stored) => {
      if (this.isIn(stored) || this.removed || this.leaving) return undefined;
      return [...stored.members.filter(({ instance }) => instance !== self.instance), self];
    });
    this.confirmed = view !== undefined && this.isIn(view);
  }

  private async removeLapsed(): Promise<void> {
    const { views, timer, random } = this.options;
    const suspects = this.suspects(views.current);
    if (suspects.length === 0) {
      this.proposeAt = undefined;
      this.removals.reset();
      return;
    }
    this.proposeAt ??=
      timer.now() + this.rank(suspects) * STAGGER_MS + random.jitter(STAGGER_MS / 2);
    if (timer.now() < this.proposeAt) return;
    await this.changeView(async (view) => {
      if (!this.isIn(view)) return undefined;
      const gone = await this.lapsed(view);
      return gone.size > 0 ? without(view, gone) : undefined;
    });
    this.proposeAt = timer.now() + this.removals.next();
  }

  /** Members that this entry suspects and whose lease keys it saw end. */
  private suspects(view: View): readonly Member[] {
    return this.missing(view).filter(({ incarnation }) => this.options.isSuspected(incarnation));
  }

  private missing(view: View): readonly Member[] {
    const { present } = this;
    if (!present) return [];
    return view.members.filter(
      ({ incarnation }) =>
        incarnation !== this.options.self.incarnation && !present.has(incarnation),
    );
  }

  /** The suspects whose lease keys the store, asked again, does not hold. */
  private async lapsed(view: View): Promise<ReadonlySet<string>> {
    const { store, isSuspected } = this.options;
    const gone = new Set<string>();
    await Promise.all(
      this.suspects(view).map(async ({ incarnation }) => {
        const key = await store.get(storeKeys.entries + incarnation);
        if (key.isOk() && key.value === undefined) gone.add(incarnation);
      }),
    );
    return new Set([...gone].filter(isSuspected));
  }

  private rank(suspects: readonly Member[]): number {
    const others = this.options.views.current.members.filter(
      (member) => !suspects.includes(member),
    );
    return others.findIndex(({ incarnation }) => incarnation === this.options.self.incarnation);
  }

  /**
   * Changes the stored view to the members that `decide` returns for it, if
   * any, and returns the view that the store then holds, if that is known.
   */
  private async changeView(
    decide: (view: View) => Promise<readonly Member[] | undefined>,
    departed: readonly string[] = [],
  ): Promise<View | undefined> {
    const { store, timer, random, retentionMs } = this.options;
    const result = await updateKey({
      store,
      timer,
      random,
      key: storeKeys.view,
      maxAttempts: CHANGE_ATTEMPTS,
      signal: this.leaving ? undefined : this.ending.signal,
      computeValue: async (item) => {
        const view = this.stored(item);
        const members = view && (await decide(view));
        if (!members) return undefined;
        const keepMs = retentionMs() + PAST_MARGIN_MS;
        return toJsonString(ViewSchema, nextView(view, members, timer.wall(), keepMs, departed));
      },
    });
    return result.isOk() ? this.stored(result.value) : undefined;
  }

  /**
   * The view as the store holds it, which is adopted. Undefined when it cannot
   * be read or is older than one already known: a store that lost a view is
   * not written to.
   */
  private stored(item: StoreItem | undefined): View | undefined {
    const { views } = this.options;
    if (!item) return views.number === 0n ? views.current : undefined;
    const view = parseView(item.value).unwrapOr(undefined);
    if (!view) return undefined;
    views.adopt(view);
    return view.number === views.number ? view : undefined;
  }

  private meet(view: View): void {
    const { incarnation } = this.options.self;
    if (this.isIn(view)) {
      this.wasMember = true;
    } else if (
      this.wasMember ||
      view.past.some((past) => past.incarnations.includes(incarnation))
    ) {
      this.removed = true;
    }
    this.wake();
  }

  private isIn(view: View): boolean {
    return isMember(view, this.options.self.incarnation);
  }

  private untilNextTurn(): number {
    const { timer, views } = this.options;
    const now = timer.now();
    const times = [this.dueAt];
    if (this.confirmed && this.missing(views.current).length > 0) {
      times.push(this.proposeAt ?? now + SUSPICION_POLL_MS);
    }
    return Math.max(1, Math.min(...times) - now);
  }

  private end(): void {
    this.ending.abort();
    this.wake();
  }

  private wake(): void {
    this.waker.abort();
  }
}

function without(view: View, incarnations: ReadonlySet<string>): readonly Member[] {
  return view.members.filter(({ incarnation }) => !incarnations.has(incarnation));
}
