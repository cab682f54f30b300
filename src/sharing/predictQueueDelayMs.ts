import type Load from './Load';

/**
 * How long a batch waits until it begins, ms: what of its level goes before it, over the rate at which tasks of its
 * level and of those behind start. That rate is the room that comes free without what more urgent levels take of it,
 * which they go on taking. Both are counted in cores to start with, not in work, since room comes free as
 * running tasks end. `before` is the share of its level's line that goes before it.
 */
export default function predictQueueDelayMs(
  { levels }: Load,
  level: number,
  before: number,
): number {
  const waiting = levels.find((each) => each.level === level)?.waitingMilli ?? 0;
  const ahead = waiting * before;
  if (ahead <= 0) return 0;
  const rate = levels
    .filter((each) => each.level >= level)
    .reduce((sum, { startingMilli }) => sum + startingMilli, 0);
  return (ahead / rate) * SECOND_MS;
}

const SECOND_MS = 1_000;
