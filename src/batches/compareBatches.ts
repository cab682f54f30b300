import type Batch from './Batch';

/**
 * The order in which waiting batches get room, for the load in which more is asked than there is
 * room for. The queue's priority comes first, since operators set it; then whoever has to be
 * answered sooner, so that one begun long ago is finished before another is begun.
 */
export default function compareBatches(a: Batch, b: Batch): number {
  const byPriority = a.submission.queue.priority - b.submission.queue.priority;
  return byPriority || a.acceptedAt - b.acceptedAt;
}
