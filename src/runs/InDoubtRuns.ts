import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import { RunEndSchema, RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type IncarnationOutcome from './IncarnationOutcome';
import type InDoubtRun from './InDoubtRun';

interface InDoubtRunsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  /** Called when runs have ended because their time limit has passed. */
  readonly onChange: () => void;
}

/**
 * Runs of ended incarnations that the next one may still start: a start without an answer may be executed
 * later, and it names the same id. Their owners are notified of the end once the next incarnation has received
 * a higher fencing token and runs nothing, which it shows when leftovers have been stopped there. Without a
 * next incarnation they end after the longest time by which a start can be late. Their lease gives no bound,
 * since the next incarnation measures it by a clock of its own.
 */
export default class InDoubtRuns {
  private readonly runs = new Set<InDoubtRun>();

  private constructor(private readonly opts: InDoubtRunsOptions) {}

  /** Creates an empty set of runs. */
  static create(opts: InDoubtRunsOptions): InDoubtRuns {
    return new InDoubtRuns(opts);
  }

  get size(): number {
    return this.runs.size;
  }

  /** Whether any of them belongs to the owner. */
  hasRunsOf(owner: object): boolean {
    return [...this.runs].some(({ state }) => state.request.owner === owner);
  }

  /** Adds those of an incarnation that has just ended. */
  add({ inDoubt, resolvedInMs }: IncarnationOutcome): void {
    if (inDoubt.length === 0) return;
    const { timer, log, onChange } = this.opts;
    log.info('starts of an ended incarnation may still be executed by the next', {
      runs: inDoubt.length,
      settledInMs: Math.round(resolvedInMs),
    });
    inDoubt.forEach((run) => this.runs.add(run));
    timer.after(resolvedInMs, () => {
      const remaining = inDoubt.filter((run) => this.runs.has(run));
      if (remaining.length === 0) return;
      log.info('no next incarnation was cleared in time', { runs: remaining.length });
      remaining.forEach((run) => this.finish(run));
      onChange();
    });
  }

  /** The next incarnation at the address has received a higher fencing token, and nothing runs there. */
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
