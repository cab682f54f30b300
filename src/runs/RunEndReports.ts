import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import { type RunEnd, RunsEndedSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';

/** An end that has not been sent to its owner. */
interface DelayedEnd {
  readonly end: RunEnd;
  readonly endedAt: number;
}

/**
 * Sends the ends of runs to one entry. An end that unblocks nothing at the entry may be delayed until the next
 * end or pulse: each message wakes the entry, which costs it more than reading several ends together.
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

  /** Adds an end. Unless it may wait, it is sent at once, along with the delayed ones. */
  add(end: RunEnd, mayWait: boolean): void {
    this.delayed.push({ end, endedAt: this.timer.now() });
    if (!mayWait) this.flush();
  }

  /** Sends the delayed ends. Call it before any message that assumes that the owner knows of them. */
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
