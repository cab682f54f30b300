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

/** Another entry at the other end of one link, with the requests about claims that it has not answered. */
export default class ClaimPeer {
  /** When each unanswered request was first sent, by its number, the oldest first. */
  private readonly pendingSince = new Map<number, number>();

  private readonly claimCallbacks = new Map<number, (answer: BatchClaimed | undefined) => void>();

  private readonly followCallbacks = new Map<number, (state: BatchFollowed) => void>();

  private constructor(
    readonly link: Link,
    private readonly timer: TimerService,
  ) {}

  /** Creates the peer for a link that has just opened. */
  static of(link: Link, timer: TimerService): ClaimPeer {
    return new ClaimPeer(link, timer);
  }

  /** The entry's hello message. */
  get hello(): Hello {
    return this.link.peer;
  }

  /** Age of the oldest unanswered request, ms; 0 when there is none. */
  get unansweredMs(): number {
    const [oldest] = this.pendingSince.values();
    return oldest === undefined ? 0 : this.timer.now() - oldest;
  }

  /** Time since any message was received from it, ms. */
  get silentMs(): number {
    return this.timer.now() - this.link.lastReceivedAt;
  }

  /** Whether it has been silent with an unanswered request for so long that its sidecars have stopped its runs. */
  get isPresumedDead(): boolean {
    return Math.min(this.unansweredMs, this.silentMs) >= RUN_END_BOUND_MS.afterConfirmation;
  }

  /** Whether its answer is overdue, so that nothing should wait for it alone. */
  get isSlow(): boolean {
    return this.unansweredMs >= claimLimits.answerTimeoutMs;
  }

  /** Whether it seems to be paused or isolated. */
  get isUnreachable(): boolean {
    return Math.min(this.unansweredMs, this.silentMs) >= claimLimits.unreachableAfterMs;
  }

  /** Asks it to record a claim; resolves to undefined when the link ends. */
  requestClaim(value: ClaimBatch): Promise<BatchClaimed | undefined> {
    const { number } = value;
    return new Promise((resolve) => {
      this.claimCallbacks.set(number, resolve);
      this.sendRequest(number, () => this.link.send({ case: 'claimBatch', value }));
    });
  }

  /** Handles its answer to a claim. */
  handleClaimResponse(answer: BatchClaimed): void {
    this.pendingSince.delete(answer.number);
    this.claimCallbacks.get(answer.number)?.(answer);
    this.claimCallbacks.delete(answer.number);
  }

  /** Asks, or asks again, for the state of a batch that it holds; `onState` is called with each answer. */
  follow(value: FollowBatch, onState: (state: BatchFollowed) => void): void {
    this.followCallbacks.set(value.number, onState);
    this.sendRequest(value.number, () => this.link.send({ case: 'followBatch', value }));
  }

  /** Tells it that its answer to a follow request is no longer needed. */
  unfollow(number: number): void {
    this.followCallbacks.delete(number);
    this.link.send({ case: 'unfollowBatch', value: create(UnfollowBatchSchema, { number }) });
  }

  /** Handles its answer to a follow request. */
  handleFollowResponse(state: BatchFollowed): void {
    this.pendingSince.delete(state.number);
    this.followCallbacks.get(state.number)?.(state);
  }

  /** Ends all requests without an answer, as the link has ended. */
  close(): void {
    this.pendingSince.clear();
    this.claimCallbacks.forEach((resolve) => resolve(undefined));
    this.claimCallbacks.clear();
  }

  private sendRequest(number: number, send: () => void): void {
    if (!this.pendingSince.has(number)) this.pendingSince.set(number, this.timer.now());
    send();
  }
}
