/**
 * How long a backend server takes to answer, and so how long its answer is waited for. It answers
 * orders whose answer is lost: beside it on the same machine an answer takes a millisecond or two, and
 * every further one that is waited is time in which a task does not run and its room is taken. The
 * estimate is that of TCP's retransmission timer (RFC 6298): mean and mean deviation, each try twice
 * as long as the one before, since a slow answer must not be taken for a lost one for ever.
 */
export default class AnswerTimeouts {
  private meanMs = INITIAL_MEAN_MS;

  private deviationMs = INITIAL_MEAN_MS / 2;

  private constructor() {}

  /** Creates one that has seen no answer. */
  static create(): AnswerTimeouts {
    return new AnswerTimeouts();
  }

  /** A call was answered at its first try. */
  addSample(tookMs: number): void {
    this.deviationMs += (Math.abs(tookMs - this.meanMs) - this.deviationMs) * DEVIATION_GAIN;
    this.meanMs += (tookMs - this.meanMs) * MEAN_GAIN;
  }

  /** How long the answer to a call is waited for that was sent so many times before, ms. */
  timeoutMs(triesBefore = 0): number {
    const once = Math.max(MIN_TIMEOUT_MS, this.meanMs + DEVIATION_FACTOR * this.deviationMs);
    return Math.min(MAX_TIMEOUT_MS, once * 2 ** triesBefore);
  }
}

/** Taken as the mean before any answer, ms: a process that has just started answers slowly. */
const INITIAL_MEAN_MS = 20;

const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATION_FACTOR = 4;

/** No answer is waited for less, ms: a turn of a process that has 0.4 of a core, and its garbage collector. */
const MIN_TIMEOUT_MS = 20;

/** No answer is waited for longer, ms: what would take this long on the same machine is lost. */
const MAX_TIMEOUT_MS = 100;
