import type StartPrediction from './StartPrediction';

/**
 * Whether a batch is refused while others wait, for the load above the room.
 *
 * One in line is refused when it is late and others are not: it would take room that these can be served in time
 * with, and its caller hears of it while it can do something else.
 *
 * One that has just arrived is refused at once when the odds are clearly against it, in a shortage that has lasted longer
 * than it can wait. At better odds it waits, since what waits fills the gaps that come up.
 */
export default function shouldRefuseEarly(prospect: StartPrediction): boolean {
  const { waitMs, slackMs, shortageMs: lastedMs, isContended, isWaiting } = prospect;
  if (isWaiting) return isContended && slackMs < 0;
  return lastedMs > slackMs && waitMs > LONG_ODDS * slackMs;
}

/** Times as long a line as what is started of it in time: two of three in it are refused later. */
const LONG_ODDS = 3;
