import type Arrival from './Arrival';
import StretchHistograms from './StretchHistograms';

/**
 * Stretches of the same arrivals in an ideal single queue with perfect knowledge: in the
 * order of arrival, each task runs in the slot that becomes free first.
 */
export default function replayIdeal(
  arrivals: readonly Arrival[],
  slots: number,
  hopMs: number,
): StretchHistograms {
  const freeAt = new Array<number>(slots).fill(0);
  const stretches = StretchHistograms.create();
  arrivals.forEach((arrival) => {
    if (arrival.cancelAfterMs !== undefined) return;
    const ends = arrival.taskRunMs.map((run) => {
      const slot = freeAt.indexOf(Math.min(...freeAt));
      freeAt[slot] = Math.max(freeAt[slot]!, arrival.atMs) + run;
      return freeAt[slot];
    });
    const responseMs = Math.max(...ends) + 2 * hopMs - arrival.atMs;
    if (arrival.measured) stretches.add(arrival, responseMs, slots);
  });
  return stretches;
}
