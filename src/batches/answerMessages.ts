import { create } from '@bufbuild/protobuf';
import { type BatchFollowed, BatchFollowedSchema, Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import type BatchAnswer from './BatchAnswer';

/** Conversion between answers to batches and the messages by which entries forward them. */
const answerMessages = {
  /** The message for an answer to the request with this number. */
  of(answer: BatchAnswer, number: number): BatchFollowed {
    return create(BatchFollowedSchema, {
      number,
      outcome: outcomes[answer.kind],
      reason: 'reason' in answer ? answer.reason : '',
      retryAfterMs: 'retryAfterMs' in answer ? answer.retryAfterMs : 0,
    });
  },

  /** The answer in a message; an outcome that is unknown to this version gives `unknown`. */
  read({ outcome, reason, retryAfterMs }: BatchFollowed): BatchAnswer {
    return readers[outcome]?.(reason, retryAfterMs) ?? { kind: 'unknown', reason };
  },
};

const outcomes: Readonly<Record<BatchAnswer['kind'], Outcome>> = {
  completed: Outcome.COMPLETED,
  failed: Outcome.FAILED,
  cancelled: Outcome.CANCELLED,
  'not-run': Outcome.NOT_RUN,
  unknown: Outcome.UNKNOWN,
};

type Reader = (reason: string, retryAfterMs: number) => BatchAnswer;

const readers: Partial<Readonly<Record<Outcome, Reader>>> = {
  [Outcome.COMPLETED]: () => ({ kind: 'completed' }),
  [Outcome.FAILED]: (reason) => ({ kind: 'failed', reason }),
  [Outcome.CANCELLED]: () => ({ kind: 'cancelled' }),
  [Outcome.NOT_RUN]: (reason, retryAfterMs) => ({ kind: 'not-run', reason, retryAfterMs }),
};

export default answerMessages;
