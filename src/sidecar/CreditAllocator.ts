import { create } from '@bufbuild/protobuf';
import type Random from '../core/Random';
import type Versioned from '../core/Versioned';
import {
  GrantSchema,
  WithdrawSchema,
  type Credit,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import type LinkedEntries from './LinkedEntries';
import type LinkedEntry from './LinkedEntry';
import type Ledger from './Ledger';
import type SlotTable from './SlotTable';
import isMember from '../core/isMember';

/** A freed credit goes to another entry only if that entry's oldest task has waited this much longer. */
const MIN_WAIT_ADVANTAGE_MS = 100;
/** Linked members required before credits are distributed, so that one entry does not get all of them. */
const MIN_LINKED_MEMBERS = 2;

interface CreditAllocatorOptions {
  readonly slots: SlotTable;
  readonly entries: LinkedEntries;
  readonly ledger: Ledger;
  readonly view: Versioned<View>;
  readonly random: Random;
  /** The announced service; undefined without a backend server. */
  readonly service: () => string | undefined;
}

/**
 * Allocates the credits of a sidecar's slots to entries and notifies them. The
 * rules are in docs/design/credits.md.
 */
export default class CreditAllocator {
  /** True once two members were linked at the same time; reset when no entry is linked. */
  private hasHadEnoughLinks = false;

  private constructor(private readonly opts: CreditAllocatorOptions) {}

  /** Creates the allocator of a sidecar's slots. */
  static of(opts: CreditAllocatorOptions): CreditAllocator {
    return new CreditAllocator(opts);
  }

  /** Distributes the unassigned credits evenly over the eligible entries. */
  distribute(): void {
    const eligible = this.eligibleEntries();
    this.recordLinkCount();
    if (eligible.length === 0 || !this.mayDistribute()) return;
    const granted = new Map<LinkedEntry, Credit[]>();
    const first = this.opts.random.below(eligible.length);
    const rotated = [...eligible.slice(first), ...eligible.slice(0, first)];
    this.opts.slots.unassigned().forEach((number) => {
      const entry = this.withFewestCredits(rotated);
      const credit = this.opts.slots.issueCredit(number, entry.incarnation);
      if (credit) granted.set(entry, [...(granted.get(entry) ?? []), credit]);
    });
    granted.forEach((credits, peer) => this.grant(peer, credits));
  }

  /**
   * Releases a slot whose task has ended and reassigns its credit. Returns the
   * credit when the entry that used the slot keeps it; otherwise it was granted
   * to another entry, or stays unassigned until `distribute` is called.
   */
  reassign(slot: number, startedBy: string): Credit | undefined {
    this.opts.slots.release(slot);
    if (!this.opts.ledger.hasCapacity) return undefined;
    const peer = this.eligibleEntries().find((entry) => entry.incarnation === startedBy);
    if (!peer) {
      this.distribute();
      return undefined;
    }
    const preferred = this.withMuchLongerWait(peer);
    const credit = this.opts.slots.issueCredit(slot, (preferred ?? peer).incarnation);
    if (!credit || !preferred) return credit;
    this.grant(preferred, [credit]);
    return undefined;
  }

  /** Sends credits to an entry in a message of their own. */
  grant(peer: LinkedEntry, credits: Credit[]): void {
    const service = this.opts.service() ?? '';
    peer.send({ case: 'grant', value: create(GrantSchema, { service, credits }) });
  }

  /** Revokes the unused ones of these credits, which were lent to a lost entry, and grants new ones to the lender. */
  reclaim(lender: LinkedEntry, credits: Credit[]): void {
    const revoked = credits.filter((credit) => this.opts.slots.revoke(credit));
    const renewed = revoked
      .map((credit) => this.opts.slots.issueCredit(credit.slot, lender.incarnation))
      .filter((credit) => credit !== undefined);
    if (renewed.length > 0) this.grant(lender, renewed);
  }

  /** Revokes the unused credits of an entry that is lost or leaving and distributes them to the others. */
  removeEntry(incarnation: string): void {
    this.opts.slots.revokeAllOf(incarnation);
    if (this.opts.entries.size === 0) this.hasHadEnoughLinks = false;
    this.distribute();
  }

  /** Revokes all credits and notifies the entries; `leaving` tells them that the sidecar shuts down. */
  withdrawAll(leaving: boolean): void {
    const slots = this.opts.slots.close();
    const service = this.opts.service() ?? '';
    if (slots.length === 0 && !leaving) return;
    this.opts.entries.broadcast({
      case: 'withdraw',
      value: create(WithdrawSchema, { service, slots, leaving }),
    });
  }

  private eligibleEntries(): LinkedEntry[] {
    return this.linkedMembers().filter((peer) => peer.isEligible);
  }

  private linkedMembers(): LinkedEntry[] {
    const view = this.opts.view.current;
    return this.opts.entries.all().filter((peer) => isMember(view, peer.incarnation));
  }

  private recordLinkCount(): void {
    if (this.linkedMembers().length >= MIN_LINKED_MEMBERS) this.hasHadEnoughLinks = true;
  }

  private mayDistribute(): boolean {
    if (!this.opts.ledger.hasCapacity) return false;
    return this.hasHadEnoughLinks || this.opts.view.current.members.length < MIN_LINKED_MEMBERS;
  }

  private withFewestCredits(entries: LinkedEntry[]): LinkedEntry {
    const idleCredits = (peer: LinkedEntry): number =>
      this.opts.slots.idleCreditsOf(peer.incarnation);
    return entries.reduce((best, peer) => (idleCredits(peer) < idleCredits(best) ? peer : best));
  }

  private withMuchLongerWait(starter: LinkedEntry): LinkedEntry | undefined {
    const limit = starter.oldestWaitMs + MIN_WAIT_ADVANTAGE_MS;
    return this.eligibleEntries()
      .filter((peer) => peer.oldestWaitMs > limit)
      .sort((a, b) => b.oldestWaitMs - a.oldestWaitMs)[0];
  }
}
