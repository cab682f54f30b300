import type BatchPolicy from './BatchPolicy';
import shouldRefuseEarly from './shouldRefuseEarly';

/**
 * A policy under which batches are refused before their time is over when they are predicted not to be served in it.
 * Late answers are given up for answers in time and for callers who know sooner, which is for operators to choose.
 */
export default function withEarlyRefusal(policy: BatchPolicy): BatchPolicy {
  return { ...policy, shouldRefuse: shouldRefuseEarly };
}
