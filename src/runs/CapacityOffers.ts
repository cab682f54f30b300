import type TimerService from '../core/TimerService';
import type { Demand } from '../gen/magnoliakeel/v1/peer_pb';
import Resources from '../room/Resources';
import type EntryLink from './EntryLink';
import capacityOfferTimes from './capacityOfferTimes';

/** What one entry waits for here. */
interface EntryDemand {
  readonly rank: number;
  /** By when its first task has to start, by this process's clock. */
  readonly dueAt: number;
  readonly needs: Resources;
  /** It has let an offer pass, and others are asked first until this time. */
  readonly deprioritizedUntil: number;
}

/** Room that is kept for one entry for a moment. */
interface Offer {
  readonly entryLink: EntryLink;
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
  private readonly demands = new Map<EntryLink, EntryDemand>();

  private offer: Offer | undefined;

  private offerCount = 0;

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
    return this.demands.size > 0;
  }

  /** Takes what an entry says of its line. */
  setDemand(entryLink: EntryLink, { waiting, rank, slackMs, needs }: Demand): void {
    if (!waiting) {
      this.removeEntry(entryLink);
      return;
    }
    const deprioritizedUntil = this.demands.get(entryLink)?.deprioritizedUntil ?? 0;
    const dueAt = this.timer.now() + slackMs;
    this.demands.set(entryLink, {
      rank,
      dueAt,
      needs: Resources.of(needs ?? {}),
      deprioritizedUntil,
    });
  }

  /** An entry has ordered something: if it was its turn, that is over. */
  consumeOffer(entryLink: EntryLink): void {
    if (this.offer?.entryLink === entryLink) this.offer = undefined;
  }

  /** An entry waits for nothing, or its link has ended. */
  removeEntry(entryLink: EntryLink): void {
    this.demands.delete(entryLink);
    this.consumeOffer(entryLink);
  }

  /** Who may use this much room now: it is too little for all that wait when nobody may. */
  assign(free: Resources): EntryLink | 'anybody' | 'nobody' {
    const now = this.timer.now();
    this.expireOffer(now);
    if (this.offer) return this.offer.entryLink;
    if (this.demands.size === 0) return 'anybody';
    const candidates = [...this.demands].filter(([, { needs }]) => free.covers(needs));
    candidates.sort(([, a], [, b]) => compareDemands(a, b, now));
    const [best] = candidates;
    if (!best) return 'nobody';
    const [entryLink] = best;
    this.offerCount += 1;
    this.offer = { entryLink, number: this.offerCount, untilMs: now + capacityOfferTimes.heldMs };
    return entryLink;
  }

  private expireOffer(now: number): void {
    if (!this.offer || now < this.offer.untilMs) return;
    const { entryLink } = this.offer;
    const demand = this.demands.get(entryLink);
    if (demand)
      this.demands.set(entryLink, { ...demand, deprioritizedUntil: now + DEPRIORITIZED_MS });
    this.offer = undefined;
  }
}

function compareDemands(a: EntryDemand, b: EntryDemand, now: number): number {
  const byPriority = Number(a.deprioritizedUntil > now) - Number(b.deprioritizedUntil > now);
  return byPriority || a.rank - b.rank || a.dueAt - b.dueAt;
}

/** How long others go first after an offer was let pass, ms: the entry has found room elsewhere. */
const DEPRIORITIZED_MS = 10;
