import { create } from '@bufbuild/protobuf';
import type BatchClaims from '../claims/BatchClaims';
import {
  BatchFollowedSchema,
  type BatchHolder,
  type FollowBatch,
  Outcome,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type EventLog from '../observe/EventLog';
import answerMessages from './answerMessages';
import type Batch from './Batch';
import type OpenBatches from './OpenBatches';

interface FollowersOptions {
  readonly log: EventLog;
  readonly claims: BatchClaims;
  readonly batches: OpenBatches;
}

/**
 * Other entries that have received a submission of a batch that is open here, and wait for its
 * outcome. An entry that waits for an open batch counts as one more caller of it.
 */
export default class Followers {
  /** Cancels the wait of each follower, by link and request number. */
  private readonly waiting = new Map<Link, Map<number, AbortController>>();

  private constructor(private readonly opts: FollowersOptions) {}

  /** Creates an instance without followers. */
  static create(opts: FollowersOptions): Followers {
    return new Followers(opts);
  }

  /** Handles another entry's request for the outcome of a batch, which may be repeated. */
  handleFollow(link: Link, wanted: FollowBatch): void {
    const { number, batch: id } = wanted;
    const { batches, claims, log } = this.opts;
    if (this.requestsOf(link).has(number)) {
      send(link, number, Outcome.PENDING);
      return;
    }
    const batch = batches.find(id);
    const stance = batch ? claims.decideFollow(link, wanted) : 'take';
    log.info('another entry requests the outcome of a batch', {
      request: id,
      entry: link.peer.instance,
      isOpen: batch !== undefined,
      stance: typeof stance === 'string' ? stance : stance.instance,
    });
    if (typeof stance !== 'string') send(link, number, Outcome.UNSPECIFIED, stance);
    else if (batch && stance === 'wait') this.logFailure(this.join(link, number, batch), id);
    else this.logFailure(this.awaitEnd(link, number, id), id);
  }

  /** Handles an entry's message that it no longer waits. */
  handleUnfollow(link: Link, number: number): void {
    this.waiting.get(link)?.get(number)?.abort();
    this.waiting.get(link)?.delete(number);
  }

  /** Cancels all waits of an entry when the link to it ends. */
  linkEnded(link: Link): void {
    this.waiting.get(link)?.forEach((cancelled) => cancelled.abort());
    this.waiting.delete(link);
  }

  private logFailure(response: Promise<void>, request: string): void {
    response.catch((error: unknown) =>
      this.opts.log.warn('failed to answer another entry', { request, error }),
    );
  }

  private requestsOf(link: Link): Map<number, AbortController> {
    const known = this.waiting.get(link);
    if (known) return known;
    const requests = new Map<number, AbortController>();
    this.waiting.set(link, requests);
    return requests;
  }

  private startWaiting(link: Link, number: number): AbortSignal {
    const cancelled = new AbortController();
    this.requestsOf(link).set(number, cancelled);
    send(link, number, Outcome.PENDING);
    return cancelled.signal;
  }

  private async join(link: Link, number: number, batch: Batch): Promise<void> {
    const cancelled = this.startWaiting(link, number);
    const answer = await this.opts.batches.join(batch, cancelled);
    this.waiting.get(link)?.delete(number);
    if (!cancelled.aborted) {
      link.send({ case: 'batchFollowed', value: answerMessages.of(answer, number) });
    }
  }

  /** Answers the entry once the batch has no active runs here any more. */
  private async awaitEnd(link: Link, number: number, id: string): Promise<void> {
    const { batches, claims } = this.opts;
    const running = batches.answeredButRunning(id);
    const { newestClaim } = claims;
    if (running.length > 0) {
      const cancelled = this.startWaiting(link, number);
      await Promise.all(running.map((batch) => batch.whenIdle()));
      this.waiting.get(link)?.delete(number);
      if (cancelled.aborted) return;
    }
    send(link, number, Outcome.ABSENT, newestClaim);
  }
}

function send(link: Link, number: number, outcome: Outcome, holder?: BatchHolder): void {
  const value = create(BatchFollowedSchema, { number, outcome, holder });
  link.send({ case: 'batchFollowed', value });
}
