/**
 * Computes how long to wait for an answer of the backend server before a call is sent again. On the same machine an
 * answer takes a millisecond or two, so a long timeout after a lost answer leaves a task idle and its capacity
 * occupied. The estimate is that of TCP's retransmission timer (RFC 6298): mean and mean deviation, and the timeout
 * doubles with each retry, since otherwise a slow answer would always be treated as lost.
 */
export default class AnswerTimeouts {
  private meanMs = INITIAL_MEAN_MS;

  private deviationMs = INITIAL_MEAN_MS / 2;

  private constructor() {}

  /** Creates timeouts without any sample. */
  static create(): AnswerTimeouts {
    return new AnswerTimeouts();
  }

  /** Adds the time that a call took which was answered without a retry. */
  addSample(tookMs: number): void {
    this.deviationMs += (Math.abs(tookMs - this.meanMs) - this.deviationMs) * DEVIATION_GAIN;
    this.meanMs += (tookMs - this.meanMs) * MEAN_GAIN;
  }

  /** The timeout of a call that was sent this many times before, ms. */
  timeoutMs(triesBefore = 0): number {
    const once = Math.max(MIN_TIMEOUT_MS, this.meanMs + DEVIATION_FACTOR * this.deviationMs);
    return Math.min(MAX_TIMEOUT_MS, once * 2 ** triesBefore);
  }
}

/** Assumed mean before the first sample, ms: a process that has just started answers slowly. */
const INITIAL_MEAN_MS = 20;

const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATION_FACTOR = 4;

/** Minimum timeout, ms: one event-loop turn with garbage collection of a process that has 0.4 of a core. */
const MIN_TIMEOUT_MS = 20;

/** Maximum timeout, ms: on the same machine an answer that takes longer is lost. */
const MAX_TIMEOUT_MS = 100;
