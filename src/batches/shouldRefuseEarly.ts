import type StartPrediction from './StartPrediction';

/**
 * Whether a batch is refused while others are waiting, when load exceeds capacity.
 *
 * A batch in the backlog is refused if it is late and others are not: it would take capacity with
 * which these can be answered in time, and its caller learns of it early enough to do something
 * else.
 *
 * A batch that has just arrived is refused immediately if its chance is clearly too small, in a
 * shortage that has lasted longer than the batch can wait. With a better chance it waits, since
 * waiting batches fill the gaps that come up.
 */
export default function shouldRefuseEarly(prediction: StartPrediction): boolean {
  const { waitMs, slackMs, shortageMs, isContended, isWaiting } = prediction;
  if (isWaiting) return isContended && slackMs < 0;
  return shortageMs > slackMs && waitMs > MAX_WAIT_PER_SLACK * slackMs;
}

/**
 * Predicted wait over slack from which a batch is refused: at this ratio two of three batches in
 * the backlog are refused later.
 */
const MAX_WAIT_PER_SLACK = 3;
