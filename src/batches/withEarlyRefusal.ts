import type BatchPolicy from './BatchPolicy';
import shouldRefuseEarly from './shouldRefuseEarly';

/**
 * A policy that refuses batches before they expire if they are predicted not to be answered in
 * time. It trades late answers for answers in time and for callers who know sooner; operators
 * choose whether to use it.
 */
export default function withEarlyRefusal(policy: BatchPolicy): BatchPolicy {
  return { ...policy, shouldRefuse: shouldRefuseEarly };
}
