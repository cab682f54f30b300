import { create } from '@bufbuild/protobuf';
import { type Demand, DemandSchema } from '../gen/magnoliakeel/v1/peer_pb';
import toAmount from '../room/toAmount';
import type BacklogHead from './BacklogHead';

/**
 * The demand that a sidecar is notified of, and when a change is worth a message. While there is a
 * backlog, its head changes many times a second. If each notified sidecar received every change,
 * the messages would fill the entry's link and delay its start requests.
 */
export default class DemandUpdates {
  private sent: BacklogHead | undefined;

  private sentAt = -Infinity;

  private constructor() {}

  /** Creates the state of a sidecar that was notified of nothing. */
  static create(): DemandUpdates {
    return new DemandUpdates();
  }

  /** Whether the sidecar currently knows of demand. */
  get hasDemand(): boolean {
    return this.sent !== undefined;
  }

  /**
   * The update to send for the head of the backlog, undefined for none. Without `head` there is no
   * demand at this sidecar. An update that goes along with a start request costs next to nothing,
   * and is always sent while tasks are waiting.
   */
  next(head: BacklogHead | undefined, hasOrders: boolean, now: number): Demand | undefined {
    const isPiggybacked = hasOrders && (head !== undefined || this.hasDemand);
    if (!isPiggybacked && !this.isWorthMessage(head, now)) return undefined;
    this.sent = head;
    this.sentAt = now;
    if (!head) return create(DemandSchema);
    const { needs, urgency } = head;
    return create(DemandSchema, { waiting: true, ...urgency, needs: toAmount(needs) });
  }

  /** Whether the change of the head is worth a message of its own. */
  private isWorthMessage(head: BacklogHead | undefined, now: number): boolean {
    const { sent } = this;
    if (!head || !sent) return head !== sent;
    const sinceMs = now - this.sentAt;
    const rankDifference = head.urgency.rank - sent.urgency.rank;
    const difference =
      rankDifference || significantDelay(head.urgency.slackMs, sent.urgency.slackMs - sinceMs);
    return difference < 0
      ? sinceMs >= MORE_URGENT_INTERVAL_MS
      : difference > 0 && sinceMs >= LESS_URGENT_INTERVAL_MS;
  }
}

/**
 * How much later the head has to start than the sidecar assumes, ms; 0 if the difference is
 * insignificant.
 */
function significantDelay(slackMs: number, assumedMs: number): number {
  const byMs = slackMs - assumedMs;
  return Math.abs(byMs) > SLACK_TOLERANCE_MS ? byMs : 0;
}

/** A smaller difference in the time to start is sent only with the next start request, ms. */
const SLACK_TOLERANCE_MS = 40;

/** Shortest time until a more urgent head is sent, ms; the end of demand is sent immediately. */
const MORE_URGENT_INTERVAL_MS = 20;

/**
 * The same for a less urgent head, ms: until it is sent, the entry gets an offer too early at
 * worst.
 */
const LESS_URGENT_INTERVAL_MS = 40;
