import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import {
  type BatchClaimed,
  type BatchFollowed,
  type ClaimBatch,
  type FollowBatch,
  type Hello,
  UnfollowBatchSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import claimLimits from './claimLimits';

/** Another entry, over one link: what it was asked about claims and has not answered. */
export default class ClaimPeer {
  /** When each question without an answer was first sent, by its number, the oldest first. */
  private readonly asked = new Map<number, number>();

  private readonly claims = new Map<number, (answer: BatchClaimed | undefined) => void>();

  private readonly follows = new Map<number, (state: BatchFollowed) => void>();

  private constructor(
    readonly link: Link,
    private readonly timer: TimerService,
  ) {}

  /** Begins with a link that has just opened. */
  static of(link: Link, timer: TimerService): ClaimPeer {
    return new ClaimPeer(link, timer);
  }

  /** What the entry says of itself. */
  get hello(): Hello {
    return this.link.peer;
  }

  /** How long it has not answered, while something waits for its answer, ms; 0 while nothing does. */
  get unansweredMs(): number {
    const [oldest] = this.asked.values();
    return oldest === undefined ? 0 : this.timer.now() - oldest;
  }

  /** How long nothing at all was heard of it, ms. */
  get silentMs(): number {
    return this.timer.now() - this.link.lastReceivedAt;
  }

  /** Whether it has been silent, while it was asked, for so long that its sidecars have stopped its runs. */
  get isPresumedDead(): boolean {
    return Math.min(this.unansweredMs, this.silentMs) >= RUN_END_BOUND_MS.afterConfirmation;
  }

  /** Whether it does not answer at present, so that nothing should wait for it alone. */
  get isSlow(): boolean {
    return this.unansweredMs >= claimLimits.answerMs;
  }

  /** Whether it seems to be frozen or cut off. */
  get isUnreachable(): boolean {
    return Math.min(this.unansweredMs, this.silentMs) >= claimLimits.absentMs;
  }

  /** Asks it to note a claim; resolves to nothing when the link ends. */
  requestClaim(value: ClaimBatch): Promise<BatchClaimed | undefined> {
    const { number } = value;
    return new Promise((resolve) => {
      this.claims.set(number, resolve);
      this.ask(number, () => this.link.send({ case: 'claimBatch', value }));
    });
  }

  /** Takes its answer to a claim. */
  handleClaimResponse(answer: BatchClaimed): void {
    this.asked.delete(answer.number);
    this.claims.get(answer.number)?.(answer);
    this.claims.delete(answer.number);
  }

  /** Asks, or asks again, what becomes of a batch that it holds; `heard` is told of each answer. */
  follow(value: FollowBatch, heard: (state: BatchFollowed) => void): void {
    this.follows.set(value.number, heard);
    this.ask(value.number, () => this.link.send({ case: 'followBatch', value }));
  }

  /** Its answer is of no interest any more. */
  unfollow(number: number): void {
    this.follows.delete(number);
    this.link.send({ case: 'unfollowBatch', value: create(UnfollowBatchSchema, { number }) });
  }

  /** Takes its answer to a question about a batch. */
  handleFollowResponse(state: BatchFollowed): void {
    this.asked.delete(state.number);
    this.follows.get(state.number)?.(state);
  }

  /** The link has ended: nothing will be answered. */
  close(): void {
    this.asked.clear();
    this.claims.forEach((resolve) => resolve(undefined));
    this.claims.clear();
  }

  private ask(number: number, send: () => void): void {
    if (!this.asked.has(number)) this.asked.set(number, this.timer.now());
    send();
  }
}
