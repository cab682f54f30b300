import type Load from './Load';

/**
 * Predicts how long a batch waits before it starts, ms: the part of its level's backlog that goes before it,
 * divided by the rate at which tasks of its level and of less urgent ones start. That rate is the capacity that
 * becomes free minus what more urgent levels use, and will go on using. Both are counted in cores to start
 * with, not in work, since capacity becomes free as running tasks end. `shareAhead` is the share of its level's
 * backlog that goes before it.
 */
export default function predictQueueDelayMs(
  { levels }: Load,
  level: number,
  shareAhead: number,
): number {
  const waiting = levels.find((each) => each.level === level)?.waitingMilli ?? 0;
  const ahead = waiting * shareAhead;
  if (ahead <= 0) return 0;
  const rate = levels
    .filter((each) => each.level >= level)
    .reduce((sum, { startingMilli }) => sum + startingMilli, 0);
  return (ahead / rate) * SECOND_MS;
}

const SECOND_MS = 1_000;
