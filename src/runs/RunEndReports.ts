import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import { type RunEnd, RunsEndedSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';

/** An end that its owner has not been told. */
interface DelayedEnd {
  readonly end: RunEnd;
  readonly endedAt: number;
}

/**
 * The ends of one entry's runs, on their way to it. An end that opens nothing at the entry may wait for the next one
 * or for a pulse: each message wakes the entry, which costs it more than reading a few ends together.
 */
export default class RunEndReports {
  private delayed: DelayedEnd[] = [];

  private constructor(
    private readonly timer: TimerService,
    private readonly link: Link,
  ) {}

  /** Creates the reports over a link. */
  static create(timer: TimerService, link: Link): RunEndReports {
    return new RunEndReports(timer, link);
  }

  /** Takes an end, and tells it at once, with those that have waited, unless it may wait. */
  add(end: RunEnd, mayWait: boolean): void {
    this.delayed.push({ end, endedAt: this.timer.now() });
    if (!mayWait) this.flush();
  }

  /** Tells what has waited; to be called before anything that takes the owner to know of it. */
  flush(): void {
    if (this.delayed.length === 0) return;
    const now = this.timer.now();
    const ends = this.delayed.map(({ end, endedAt }) => ({
      ...end,
      heldBackMs: Math.round(now - endedAt),
    }));
    this.delayed = [];
    this.link.send({ case: 'runsEnded', value: create(RunsEndedSchema, { ends }) });
  }
}
