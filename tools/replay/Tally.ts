import type Outcome from './Outcome';
import type Recording from './Recording';

/** A late answer has worth up to this multiple of the latency target, as the users' documentation states. */
const EXPIRY_FACTOR = 3;

/** Upper limit of a batch's size, relative to the mean of its queue. */
const MAX_SIZE = 4;

type Ending = 'completed' | 'refused' | 'other';

/** The outcome of one batch. */
interface Answer {
  /** Arrival time, ms from the start of the load. */
  readonly atMs: number;
  /** Index of its queue, and of the entry that its caller was connected to. */
  readonly queue: number;
  readonly entry: number;
  readonly ending: Ending;
  readonly isOnTime: boolean;
  readonly batch: Recording['batches'][number];
  readonly tookMs: number;
  /** Worth that it earned, and that it would have earned within its latency target. */
  readonly earned: number;
  readonly attainable: number;
}

/** Adds up the worth of answers by their latency target and their work, as the users' documentation defines it. */
export default class Tally {
  private readonly counts: {
    onTime: number;
    late: number;
    refused: number;
    rest: number;
    earned: number;
    attainable: number;
  }[];

  /** Every counted batch, in the order of the answers. */
  readonly answers: Answer[] = [];

  private constructor(private readonly recording: Recording) {
    this.counts = recording.queues.map(() => ({
      ...{ onTime: 0, late: 0, refused: 0, rest: 0, earned: 0, attainable: 0 },
    }));
  }

  /** Creates an empty tally. */
  static of(recording: Recording): Tally {
    return new Tally(recording);
  }

  /** Counts a batch that was answered after `tookMs`. */
  add(batch: Recording['batches'][number], ending: Ending, tookMs: number): void {
    const queue = this.recording.queues[batch.queue]!;
    const count = this.counts[batch.queue]!;
    const size = Tally.sizeOf(batch, queue);
    const targetMs = Tally.targetMsOf(batch, queue);
    const isOnTime = ending === 'completed' && tookMs <= targetMs;
    const isLate = ending === 'completed' && !isOnTime && tookMs <= targetMs * EXPIRY_FACTOR;
    const lateWorth = isLate ? queue.lateWorth : 0;
    const attainable = size * queue.worth;
    const earned = isOnTime ? attainable : size * lateWorth;
    const { atMs, entry } = batch;
    this.answers.push({
      atMs,
      queue: batch.queue,
      entry,
      ending,
      isOnTime,
      earned,
      attainable,
      batch,
      tookMs,
    });
    count.attainable += attainable;
    count.earned += earned;
    if (ending === 'refused') count.refused += 1;
    else if (isOnTime) count.onTime += 1;
    else if (isLate) count.late += 1;
    else count.rest += 1;
  }

  /** Latency target of a batch, ms after its arrival. */
  static targetMsOf(
    batch: Recording['batches'][number],
    queue: Recording['queues'][number],
  ): number {
    return queue.stretch * Math.max(...batch.tasksMs) + queue.targetLatencyMs;
  }

  /** Size of a batch, which scales its worth: 1 for a batch of its queue's mean work. */
  static sizeOf(
    { tasksMs, cpuMilli }: Recording['batches'][number],
    { meanWork }: Recording['queues'][number],
  ): number {
    const work = tasksMs.reduce((sum, ms) => sum + ms, 0) * cpuMilli;
    return Math.min(MAX_SIZE, 0.3 + (0.7 * work) / meanWork);
  }

  /** Results of each queue, then of all queues together. */
  get outcomes(): readonly Outcome[] {
    const rows = this.counts.map((count, at) => ({
      queue: this.recording.queues[at]!.name,
      batches: count.onTime + count.late + count.refused + count.rest,
      ...count,
      worth: count.earned / Math.max(count.attainable, Number.EPSILON),
    }));
    const sum = (pick: (row: Outcome) => number): number =>
      rows.reduce((total, row) => total + pick(row), 0);
    const earned = sum((row) => row.earned);
    const attainable = sum((row) => row.attainable);
    const all = {
      queue: 'all',
      batches: sum((row) => row.batches),
      onTime: sum((row) => row.onTime),
      late: sum((row) => row.late),
      refused: sum((row) => row.refused),
      rest: sum((row) => row.rest),
      ...{ earned, attainable, worth: earned / Math.max(attainable, Number.EPSILON) },
    };
    return [...rows, all];
  }
}
