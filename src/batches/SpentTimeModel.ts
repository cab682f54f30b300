/**
 * How long the callers of each queue say that they wait, and so how much of its time a caller has spent
 * already before its request came here. It answers the load after an outage: callers whose entry was
 * lost come back, most of them too late for any answer to be of use, and what they would take is
 * missing for those who come for the first time.
 *
 * A caller that says clearly less than most others of its queue counts as having spent the difference.
 * That only matters while room is short, since what there is room for starts at once.
 */
export default class SpentTimeModel {
  private readonly queues = new Map<string, number[]>();

  private constructor() {}

  /** Creates one that has heard no caller. */
  static create(): SpentTimeModel {
    return new SpentTimeModel();
  }

  /** Takes note of a caller that waits so long; returns the time that it seems to have spent before, ms. */
  observe(queue: string, waitMs: number): number {
    const heard = this.queues.get(queue) ?? [];
    heard.push(waitMs);
    if (heard.length > REMEMBERED) heard.shift();
    this.queues.set(queue, heard);
    if (heard.length < LEAST_HEARD) return 0;
    return Math.max(0, usualOf(heard) * CLEARLY - waitMs);
  }
}

/** What a caller says that comes for the first time, also while many of them come back. */
function usualOf(heard: readonly number[]): number {
  const sorted = [...heard].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * USUAL_SHARE)] ?? 0;
}

/** Callers of a queue that are remembered: a second or two of a busy queue. */
const REMEMBERED = 64;

/** Callers of a queue that have to be heard before anything is made of what one says. */
const LEAST_HEARD = 8;

/** Place of the usual caller among all in order: with three of four coming back it is still a new one. */
const USUAL_SHARE = 0.75;

/** Callers of a queue differ by a quarter among themselves, since their batches do. */
const CLEARLY = 0.75;
