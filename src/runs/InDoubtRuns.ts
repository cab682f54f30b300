import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import { RunEndSchema, RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type IncarnationOutcome from './IncarnationOutcome';
import type InDoubtRun from './InDoubtRun';

interface InDoubtRunsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  /** Told when some are over because their lease has passed. */
  readonly onChange: () => void;
}

/**
 * Runs of ended lives of a backend server that the next life may still start: an order without an answer may be
 * carried out later, and names the same id. Their owners hear that they are over once the next life has been given a
 * higher fencing token and runs nothing, which its clearing shows. If none comes, that is after as long as an order may
 * be late: their lease bounds nothing, since the next life reckons it by a clock of its own.
 */
export default class InDoubtRuns {
  private readonly runs = new Set<InDoubtRun>();

  private constructor(private readonly opts: InDoubtRunsOptions) {}

  /** Creates one without any run. */
  static create(opts: InDoubtRunsOptions): InDoubtRuns {
    return new InDoubtRuns(opts);
  }

  get size(): number {
    return this.runs.size;
  }

  /** Whether one of them is the owner's. */
  hasRunsOf(owner: object): boolean {
    return [...this.runs].some(({ state }) => state.request.owner === owner);
  }

  /** Takes those of a life that has just ended. */
  add({ inDoubt, resolvedInMs }: IncarnationOutcome): void {
    if (inDoubt.length === 0) return;
    const { timer, log, onChange } = this.opts;
    log.info('orders of an ended life may still be carried out by the next', {
      runs: inDoubt.length,
      settledInMs: Math.round(resolvedInMs),
    });
    inDoubt.forEach((run) => this.runs.add(run));
    timer.after(resolvedInMs, () => {
      const remaining = inDoubt.filter((run) => this.runs.has(run));
      if (remaining.length === 0) return;
      log.info('no next life was cleared in time', { runs: remaining.length });
      remaining.forEach((run) => this.finish(run));
      onChange();
    });
  }

  /** The next life at the address has been given a higher fencing token, and nothing runs there. */
  resolve(address: string): void {
    this.runs.forEach((run) => {
      if (run.address === address) this.finish(run);
    });
  }

  private finish(run: InDoubtRun): void {
    this.runs.delete(run);
    const { state, reason, crash } = run;
    const { number, onEnded } = state.request;
    const { attempt } = state.run;
    const end = create(RunEndSchema, { number, outcome: RunOutcome.LOST, attempt, reason, crash });
    onEnded(end, state.stop);
  }
}
