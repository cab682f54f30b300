import type TimerService from '../core/TimerService';
import type { Demand } from '../gen/magnoliakeel/v1/peer_pb';
import Resources from '../room/Resources';
import type EntryLink from './EntryLink';
import capacityOfferTimes from './capacityOfferTimes';

/** The demand of one entry for capacity of this backend server. */
interface EntryDemand {
  readonly rank: number;
  /** When its first task has to start at the latest, by this process's clock. */
  readonly dueAt: number;
  readonly needs: Resources;
  /** It let an offer expire, so other entries go first until this time. */
  readonly deprioritizedUntil: number;
}

/** Free capacity that is reserved for one entry for a short time. */
interface Offer {
  readonly entryLink: EntryLink;
  readonly number: number;
  readonly expiresAt: number;
}

/**
 * Decides which entry may use scarce free capacity. When several entries wait and all learn of it at the same time,
 * all of them request it, all but one in vain, and the most urgent batch wins only by chance. So capacity is offered
 * to one entry at a time, the most urgent first. An offer that is not used within a round trip expires.
 */
export default class CapacityOffers {
  private readonly demands = new Map<EntryLink, EntryDemand>();

  private offer: Offer | undefined;

  private offerCount = 0;

  private constructor(private readonly timer: TimerService) {}

  /** Creates offers without any demand. */
  static create(timer: TimerService): CapacityOffers {
    return new CapacityOffers(timer);
  }

  /** The number of the open offer. */
  get offerNumber(): number | undefined {
    return this.offer?.number;
  }

  /** When the open offer expires, by the timer service. */
  get offerExpiresAt(): number | undefined {
    return this.offer?.expiresAt;
  }

  /** Whether any entry waits for capacity here. */
  get hasDemand(): boolean {
    return this.demands.size > 0;
  }

  /** Applies an entry's report of its backlog. */
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

  /** An entry has sent a start request, which uses up its offer. */
  consumeOffer(entryLink: EntryLink): void {
    if (this.offer?.entryLink === entryLink) this.offer = undefined;
  }

  /** The entry has no demand, or its link has ended. */
  removeEntry(entryLink: EntryLink): void {
    this.demands.delete(entryLink);
    this.consumeOffer(entryLink);
  }

  /** Which entry may use the free capacity now. `anybody`: none waits. `nobody`: no waiting entry's demand fits. */
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
    this.offer = { entryLink, number: this.offerCount, expiresAt: now + capacityOfferTimes.heldMs };
    return entryLink;
  }

  private expireOffer(now: number): void {
    if (!this.offer || now < this.offer.expiresAt) return;
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

/** How long other entries go first after an entry let an offer expire, ms: it has found capacity elsewhere. */
const DEPRIORITIZED_MS = 10;
