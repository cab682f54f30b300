import type TimerService from '../core/TimerService';
import type { Demand } from '../gen/magnoliakeel/v1/peer_pb';
import Resources from '../room/Resources';
import type EntryLink from './EntryLink';
import capacityOfferTimes from './capacityOfferTimes';

/** What one entry waits for here. */
interface Wish {
  readonly rank: number;
  /** By when its first task has to start, by this process's clock. */
  readonly dueAt: number;
  readonly needs: Resources;
  /** It has let an offer pass, and others are asked first until this time. */
  readonly passedUntil: number;
}

/** Room that is kept for one entry for a moment. */
interface Offer {
  readonly owner: EntryLink;
  readonly number: number;
  readonly untilMs: number;
}

/**
 * Whose turn it is to use the room that is left. It answers the load in which several entries wait:
 * told of the same room at the same moment, all of them would order it, all but one in vain, and the
 * most urgent batch would win by chance only. So room is offered to one entry after the other, the
 * most urgent first; who does not use an offer within a round trip lets it pass.
 */
export default class CapacityOffers {
  private readonly wishes = new Map<EntryLink, Wish>();

  private offer: Offer | undefined;

  private offers = 0;

  private constructor(private readonly timer: TimerService) {}

  /** Creates turns for which nobody waits. */
  static create(timer: TimerService): CapacityOffers {
    return new CapacityOffers(timer);
  }

  /** The number of the offer that is open now. */
  get offerNumber(): number | undefined {
    return this.offer?.number;
  }

  /** When the offer that is open now passes on, by the timer service. */
  get offerExpiresAt(): number | undefined {
    return this.offer?.untilMs;
  }

  /** Whether some entry waits for room here. */
  get hasDemand(): boolean {
    return this.wishes.size > 0;
  }

  /** Takes what an entry says of its line. */
  setDemand(owner: EntryLink, { waiting, rank, slackMs, needs }: Demand): void {
    if (!waiting) {
      this.removeEntry(owner);
      return;
    }
    const passedUntil = this.wishes.get(owner)?.passedUntil ?? 0;
    const dueAt = this.timer.now() + slackMs;
    this.wishes.set(owner, { rank, dueAt, needs: Resources.of(needs ?? {}), passedUntil });
  }

  /** An entry has ordered something: if it was its turn, that is over. */
  consumeOffer(owner: EntryLink): void {
    if (this.offer?.owner === owner) this.offer = undefined;
  }

  /** An entry waits for nothing, or its link has ended. */
  removeEntry(owner: EntryLink): void {
    this.wishes.delete(owner);
    this.consumeOffer(owner);
  }

  /** Who may use this much room now: it is too little for all that wait when nobody may. */
  assign(free: Resources): EntryLink | 'anybody' | 'nobody' {
    const now = this.timer.now();
    this.passOn(now);
    if (this.offer) return this.offer.owner;
    if (this.wishes.size === 0) return 'anybody';
    const able = [...this.wishes].filter(([, { needs }]) => free.covers(needs));
    able.sort(([, a], [, b]) => compareWishes(a, b, now));
    const [first] = able;
    if (!first) return 'nobody';
    const [owner] = first;
    this.offers += 1;
    this.offer = { owner, number: this.offers, untilMs: now + capacityOfferTimes.heldMs };
    return owner;
  }

  private passOn(now: number): void {
    if (!this.offer || now < this.offer.untilMs) return;
    const { owner } = this.offer;
    const wish = this.wishes.get(owner);
    if (wish) this.wishes.set(owner, { ...wish, passedUntil: now + PASSED_MS });
    this.offer = undefined;
  }
}

function compareWishes(a: Wish, b: Wish, now: number): number {
  const byPassing = Number(a.passedUntil > now) - Number(b.passedUntil > now);
  return byPassing || a.rank - b.rank || a.dueAt - b.dueAt;
}

/** How long others go first after an offer was let pass, ms: the entry has found room elsewhere. */
const PASSED_MS = 10;
