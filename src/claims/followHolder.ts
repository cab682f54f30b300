import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import {
  type BatchFollowed,
  type BatchHolder,
  FollowBatchSchema,
  Outcome,
} from '../gen/magnoliakeel/v1/peer_pb';
import claimLimits from './claimLimits';
import type ClaimPeer from './ClaimPeer';
import type FollowResult from './FollowResult';
import type LocalClaim from './LocalClaim';

interface FollowOptions {
  readonly timer: TimerService;
  readonly peer: ClaimPeer;
  readonly holder: BatchHolder;
  readonly claim: LocalClaim;
  /** Number of the follow request. */
  readonly number: number;
  /** Aborts when nobody waits for the batch any longer. */
  readonly done: AbortSignal;
}

/** Handles an answer of the holder: returns the result, or undefined to go on waiting. */
type OutcomeHandler = (opts: FollowOptions, state: BatchFollowed) => FollowResult | undefined;

/** Waits until the holder of a batch sends its answer, has ended its claim, or is unreachable. */
export default async function followHolder(opts: FollowOptions): Promise<FollowResult> {
  const { timer, peer, claim, number, done } = opts;
  const ended = AbortSignal.any([done, peer.link.closed]);
  return new Promise((resolve) => {
    const request = create(FollowBatchSchema, { batch: claim.batch, number, claim: claim.number });
    const ask = (): void => peer.follow(request, handleState);
    const probe = timer.every(claimLimits.probeIntervalMs, () => {
      if (peer.isPresumedDead) finish({ kind: 'silent' });
      else ask();
    });
    const stop = (): void => finish({ kind: 'ended' });
    const finish = (result: FollowResult): void => {
      probe.cancel();
      ended.removeEventListener('abort', stop);
      peer.unfollow(number);
      resolve(result);
    };
    const handleState = (state: BatchFollowed): void => {
      const result = handlers[state.outcome]?.(opts, state);
      if (result) finish(result);
      else if (state.outcome === Outcome.UNKNOWN) ask();
    };
    ended.addEventListener('abort', stop, { once: true });
    if (ended.aborted) stop();
    else ask();
  });
}

const answered: OutcomeHandler = (_opts, state) => ({ kind: 'answered', state });

const handlers: Partial<Readonly<Record<Outcome, OutcomeHandler>>> = {
  [Outcome.COMPLETED]: answered,
  [Outcome.FAILED]: answered,
  [Outcome.CANCELLED]: answered,
  [Outcome.NOT_RUN]: answered,
  [Outcome.PENDING]: ({ claim, holder }) => {
    claim.state = 'following';
    claim.holder = holder;
    return undefined;
  },
  [Outcome.ABSENT]: (opts, { holder = opts.holder }) => ({ kind: 'past', holder }),
  [Outcome.UNSPECIFIED]: (opts, { holder = opts.holder }) => ({ kind: 'moved', holder }),
};
