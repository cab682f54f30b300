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
  /** Names the question to the holder. */
  readonly number: number;
  /** Aborts when nobody waits for the batch any longer. */
  readonly done: AbortSignal;
}

/** What an answer of the holder leads to: the end of waiting, or nothing yet. */
type Handler = (opts: FollowOptions, state: BatchFollowed) => FollowResult | undefined;

/** Waits until the holder of a batch has answered it, has nothing left of it, or is out of reach. */
export default async function followHolder(opts: FollowOptions): Promise<FollowResult> {
  const { timer, peer, claim, number, done } = opts;
  const ended = AbortSignal.any([done, peer.link.closed]);
  return new Promise((resolve) => {
    const wanted = create(FollowBatchSchema, { batch: claim.batch, number, claim: claim.number });
    const ask = (): void => peer.follow(wanted, hear);
    const probe = timer.every(claimLimits.probeMs, () => {
      if (peer.isPresumedDead) end({ kind: 'silent' });
      else ask();
    });
    const giveUp = (): void => end({ kind: 'ended' });
    const end = (how: FollowResult): void => {
      probe.cancel();
      ended.removeEventListener('abort', giveUp);
      peer.unfollow(number);
      resolve(how);
    };
    const hear = (state: BatchFollowed): void => {
      const how = handlers[state.outcome]?.(opts, state);
      if (how) end(how);
      else if (state.outcome === Outcome.UNKNOWN) ask();
    };
    ended.addEventListener('abort', giveUp, { once: true });
    if (ended.aborted) giveUp();
    else ask();
  });
}

const answered: Handler = (_opts, state) => ({ kind: 'answered', state });

const handlers: Partial<Readonly<Record<Outcome, Handler>>> = {
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
