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
 * Other entries that have been sent a batch of this one, and wait for what becomes of it here. One that waits for an
 * open batch counts as one more caller of it.
 */
export default class Followers {
  /** What ends the wait of each, by link and number. */
  private readonly waiting = new Map<Link, Map<number, AbortController>>();

  private constructor(private readonly opts: FollowersOptions) {}

  /** Creates one without any. */
  static create(opts: FollowersOptions): Followers {
    return new Followers(opts);
  }

  /** Another entry asks what becomes of a batch, for the first time or again. */
  handleFollow(link: Link, wanted: FollowBatch): void {
    const { number, batch: id } = wanted;
    const { batches, claims, log } = this.opts;
    if (this.of(link).has(number)) {
      send(link, number, Outcome.PENDING);
      return;
    }
    const batch = batches.find(id);
    const stance = batch ? claims.decideFollow(link, wanted) : 'take';
    log.info('another entry asks for a batch', {
      request: id,
      entry: link.peer.instance,
      isOpen: batch !== undefined,
      stance: typeof stance === 'string' ? stance : stance.instance,
    });
    if (typeof stance !== 'string') send(link, number, Outcome.UNSPECIFIED, stance);
    else if (batch && stance === 'wait') this.watch(this.join(link, number, batch), id);
    else this.watch(this.awaitEnd(link, number, id), id);
  }

  /** An entry waits no longer. */
  handleUnfollow(link: Link, number: number): void {
    this.waiting.get(link)?.get(number)?.abort();
    this.waiting.get(link)?.delete(number);
  }

  /** The link to an entry has ended. */
  linkEnded(link: Link): void {
    this.waiting.get(link)?.forEach((gone) => gone.abort());
    this.waiting.delete(link);
  }

  private watch(answering: Promise<void>, request: string): void {
    answering.catch((error: unknown) =>
      this.opts.log.warn('another entry could not be answered', { request, error }),
    );
  }

  private of(link: Link): Map<number, AbortController> {
    const known = this.waiting.get(link);
    if (known) return known;
    const numbers = new Map<number, AbortController>();
    this.waiting.set(link, numbers);
    return numbers;
  }

  private begin(link: Link, number: number): AbortSignal {
    const gone = new AbortController();
    this.of(link).set(number, gone);
    send(link, number, Outcome.PENDING);
    return gone.signal;
  }

  private async join(link: Link, number: number, batch: Batch): Promise<void> {
    const gone = this.begin(link, number);
    const answer = await this.opts.batches.join(batch, gone);
    this.waiting.get(link)?.delete(number);
    if (!gone.aborted) {
      link.send({ case: 'batchFollowed', value: answerMessages.of(answer, number) });
    }
  }

  /** Tells the entry once nothing of the batch runs here any more. */
  private async awaitEnd(link: Link, number: number, id: string): Promise<void> {
    const { batches, claims } = this.opts;
    const ending = batches.answeredButRunning(id);
    const { newestClaim: newest } = claims;
    if (ending.length > 0) {
      const gone = this.begin(link, number);
      await Promise.all(ending.map((batch) => batch.whenIdle()));
      this.waiting.get(link)?.delete(number);
      if (gone.aborted) return;
    }
    send(link, number, Outcome.ABSENT, newest);
  }
}

function send(link: Link, number: number, outcome: Outcome, holder?: BatchHolder): void {
  const value = create(BatchFollowedSchema, { number, outcome, holder });
  link.send({ case: 'batchFollowed', value });
}
