import { create } from '@bufbuild/protobuf';
import { type Demand, DemandSchema } from '../gen/magnoliakeel/v1/peer_pb';
import toAmount from '../room/toAmount';
import type BacklogHead from './BacklogHead';

/**
 * What a sidecar is told of the line of an entry, and when a change of it is worth a message. It answers the load in
 * which a line stands: its head is another one many times a second, each sidecar asked would hear of each, and the
 * messages would fill the entry's link, behind which its orders then wait.
 */
export default class DemandUpdates {
  private told: BacklogHead | undefined;

  private toldAt = -Infinity;

  private constructor() {}

  /** Creates one for a sidecar that was told of nothing. */
  static create(): DemandUpdates {
    return new DemandUpdates();
  }

  /** Whether the sidecar was told that something waits. */
  get hasDemand(): boolean {
    return this.told !== undefined;
  }

  /**
   * What to tell of the head of the line now, undefined for nothing. Without `head` nothing is asked for there. What
   * goes along with an order costs next to nothing, and is always told while something waits.
   */
  next(head: BacklogHead | undefined, isOrdering: boolean, now: number): Demand | undefined {
    const isAlong = isOrdering && (head !== undefined || this.hasDemand);
    if (!isAlong && !this.isNews(head, now)) return undefined;
    this.told = head;
    this.toldAt = now;
    if (!head) return create(DemandSchema);
    const { needs, urgency } = head;
    return create(DemandSchema, { waiting: true, ...urgency, needs: toAmount(needs) });
  }

  /** Whether the sidecar should hear of the head at the price of a message. */
  private isNews(head: BacklogHead | undefined, now: number): boolean {
    const { told } = this;
    if (!head || !told) return head !== told;
    const sinceMs = now - this.toldAt;
    const byRank = head.urgency.rank - told.urgency.rank;
    const later = byRank || laterBy(head.urgency.slackMs, told.urgency.slackMs - sinceMs);
    return later < 0 ? sinceMs >= URGENT_INTERVAL_MS : later > 0 && sinceMs >= RELAXED_INTERVAL_MS;
  }
}

/** How much later a head has to start than is believed, ms; 0 when that decides little. */
function laterBy(slackMs: number, believedMs: number): number {
  const byMs = slackMs - believedMs;
  return Math.abs(byMs) > SAME_SLACK_MS ? byMs : 0;
}

/** A head whose time to start differs by less is told only with the next order, ms. */
const SAME_SLACK_MS = 40;

/** Shortest time until a head that is more urgent is told, ms; that nothing waits is told at once. */
const URGENT_INTERVAL_MS = 20;

/** The same for one that is less urgent, ms: until it is told, its entry gets an offer too early at the worst. */
const RELAXED_INTERVAL_MS = 40;
