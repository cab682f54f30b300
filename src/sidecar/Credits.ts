import { create } from '@bufbuild/protobuf';
import type Random from '../core/Random';
import type Versioned from '../core/Versioned';
import {
  GrantSchema,
  WithdrawSchema,
  type Credit,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Entries from './Entries';
import type EntryPeer from './EntryPeer';
import type Ledger from './Ledger';
import type Slots from './Slots';
import isMember from '../core/isMember';

/** By how much another entry's oldest task must be older to get a credit that was freed. */
const MUCH_OLDER_MS = 100;
/** Links that make a sidecar known to enough entries to hand out credits. */
const ENOUGH_LINKS = 2;

interface CreditsParts {
  readonly slots: Slots;
  readonly entries: Entries;
  readonly ledger: Ledger;
  readonly view: Versioned<View>;
  readonly random: Random;
  /** The announced service; undefined while there is no backend server. */
  readonly service: () => string | undefined;
}

/**
 * Decides which entry gets which credit, and tells the entries. The rules are
 * in docs/design/credits.md.
 */
export default class Credits {
  /** True once two members knew of this sidecar at the same time. */
  private isWidelyKnown = false;

  private constructor(private readonly parts: CreditsParts) {}

  /** Creates the decisions over a sidecar's slots and entries. */
  static of(parts: CreditsParts): Credits {
    return new Credits(parts);
  }

  /** Hands the idle credits that nobody holds to the linked entries, evenly. */
  spread(): void {
    const receivers = this.receivers();
    this.noteLinks();
    if (receivers.length === 0 || !this.mayHandOut()) return;
    const granted = new Map<EntryPeer, Credit[]>();
    const first = this.parts.random.below(receivers.length);
    const inTurn = [...receivers.slice(first), ...receivers.slice(0, first)];
    this.parts.slots.unheld().forEach((number) => {
      const receiver = this.poorest(inTurn);
      const credit = this.parts.slots.give(number, receiver.incarnation);
      if (credit) granted.set(receiver, [...(granted.get(receiver) ?? []), credit]);
    });
    granted.forEach((credits, peer) => this.grant(peer, credits));
  }

  /**
   * Passes on the credit of a slot whose task has ended. It is returned when
   * the entry that used the slot keeps it; otherwise it has been granted to
   * another one or waits for `spread`.
   */
  passOn(slot: number, user: string): Credit | undefined {
    this.parts.slots.release(slot);
    if (!this.parts.ledger.hasRoom) return undefined;
    const peer = this.receivers().find((receiver) => receiver.incarnation === user);
    if (!peer) {
      this.spread();
      return undefined;
    }
    const needier = this.needierThan(peer);
    const credit = this.parts.slots.give(slot, (needier ?? peer).incarnation);
    if (!credit || !needier) return credit;
    this.grant(needier, [credit]);
    return undefined;
  }

  /** Sends a credit to an entry by itself. */
  grant(peer: EntryPeer, credits: Credit[]): void {
    const service = this.parts.service() ?? '';
    peer.send({ case: 'grant', value: create(GrantSchema, { service, credits }) });
  }

  /** Ends the idle ones of these credits, which were lent to a lost entry, and grants new ones to the lender. */
  reclaim(lender: EntryPeer, credits: Credit[]): void {
    const ended = credits.filter((credit) => this.parts.slots.end(credit));
    const renewed = ended
      .map((credit) => this.parts.slots.give(credit.slot, lender.incarnation))
      .filter((credit) => credit !== undefined);
    if (renewed.length > 0) this.grant(lender, renewed);
  }

  /** Takes the idle credits of an entry that is lost or leaves and hands them to the others. */
  dropEntry(incarnation: string): void {
    this.parts.slots.drop(incarnation);
    if (this.parts.entries.size === 0) this.isWidelyKnown = false;
    this.spread();
  }

  /** Ends all credits and tells the entries. */
  withdraw(leaving: boolean): void {
    const slots = this.parts.slots.close();
    const service = this.parts.service() ?? '';
    if (slots.length === 0 && !leaving) return;
    this.parts.entries.broadcast({
      case: 'withdraw',
      value: create(WithdrawSchema, { service, slots, leaving }),
    });
  }

  private receivers(): EntryPeer[] {
    return this.members().filter((peer) => peer.isEligible);
  }

  private members(): EntryPeer[] {
    const view = this.parts.view.current;
    return this.parts.entries.all().filter((peer) => isMember(view, peer.incarnation));
  }

  private noteLinks(): void {
    if (this.members().length >= ENOUGH_LINKS) this.isWidelyKnown = true;
  }

  private mayHandOut(): boolean {
    if (!this.parts.ledger.hasRoom) return false;
    return this.isWidelyKnown || this.parts.view.current.members.length < ENOUGH_LINKS;
  }

  private poorest(receivers: EntryPeer[]): EntryPeer {
    const held = (peer: EntryPeer): number => this.parts.slots.heldBy(peer.incarnation);
    return receivers.reduce((best, peer) => (held(peer) < held(best) ? peer : best));
  }

  private needierThan(user: EntryPeer): EntryPeer | undefined {
    const limit = user.oldestWaitMs + MUCH_OLDER_MS;
    return this.receivers()
      .filter((peer) => peer.oldestWaitMs > limit)
      .sort((a, b) => b.oldestWaitMs - a.oldestWaitMs)[0];
  }
}
