import needsExclusiveBackend from '../runs/needsExclusiveBackend';
import type BatchAnswer from './BatchAnswer';
import type BatchSubmission from './BatchSubmission';
import type BatchTask from './BatchTask';
import Objective from './Objective';

interface StepProgress {
  readonly tasks: readonly BatchTask[];
  unfinished: number;
  isOpen: boolean;
}

/**
 * A batch at the entry that took it: which tasks are ready, which are done, and in the end its
 * answer. It holds no place in the system: where its tasks run is the scheduler's affair.
 */
export default class Batch {
  /** Tasks ready to be started, in the order in which they are to start. */
  readonly ready: BatchTask[] = [];

  /** Runs that were ordered and are not certainly over. */
  runs = 0;

  /** Callers that wait for the answer. */
  callers = 0;

  /** Runs that were ordered at all. */
  startsSent = 0;

  /** Whether some run may have been started by a backend server. */
  mayHaveRun = false;

  /** When its newest runs are expected to be over, by the timer service. */
  expectedEndAt = -Infinity;

  /** By when it should be answered. */
  readonly objective: Objective;

  /** When its caller's first try was made, as far as is known. */
  private readonly firstTriedAt: number;

  private readonly steps: readonly StepProgress[];

  private final: BatchAnswer | undefined;

  private readonly waiters: ((answer: BatchAnswer) => void)[] = [];

  private readonly idlers: (() => void)[] = [];

  private constructor(
    readonly submission: BatchSubmission,
    /** When its request arrived, by the timer service. */
    readonly arrivedAt: number,
  ) {
    this.objective = Objective.of(submission);
    this.firstTriedAt = arrivedAt - (submission.spentMs ?? 0);
    this.steps = submission.steps.map((step, stepNumber) => ({
      tasks: Array.from({ length: step.count }, (_, index) => ({
        step,
        stepNumber,
        index,
        attempt: 1,
        failures: 0,
        crashes: 0,
        suspicion: 0,
        excused: 0,
        moves: 0,
        failedAt: new Set<string>(),
        readyAt: undefined,
      })),
      unfinished: step.count,
      isOpen: false,
    }));
    this.openSteps(arrivedAt);
  }

  /** Accepts a batch; the steps that wait for no other are ready. */
  static accept(submission: BatchSubmission, now: number): Batch {
    return new Batch(submission, now - (submission.ageMs ?? 0));
  }

  get id(): string {
    return this.submission.id;
  }

  get answer(): BatchAnswer | undefined {
    return this.final;
  }

  /** All of its tasks. */
  get tasks(): readonly BatchTask[] {
    return this.steps.flatMap(({ tasks }) => tasks);
  }

  /** A task that may run alone only, since backend servers crash under it. */
  get suspect(): BatchTask | undefined {
    return this.tasks.find(({ suspicion }) => needsExclusiveBackend(suspicion));
  }

  /** Tasks that are not done. */
  get unfinished(): number {
    return this.steps.reduce((sum, { unfinished }) => sum + unfinished, 0);
  }

  /** Work of the tasks that wait for room, in thousandths of a core times ms. */
  get readyWork(): number {
    return this.ready.reduce((sum, { step }) => sum + step.needs.cpuMilli * step.estimateMs, 0);
  }

  /** Whether nothing of it has run and nothing ordered may still run. */
  get hasNotRun(): boolean {
    return this.runs === 0 && !this.mayHaveRun;
  }

  /** By when it should be answered, by the timer service. */
  get targetAt(): number {
    return this.firstTriedAt + this.objective.targetMs;
  }

  /** From when on its answer is of no use, by the timer service. */
  get expiresAt(): number {
    return this.firstTriedAt + this.objective.expiryMs;
  }

  /** Time left before the rest has to start in order to be answered in its aim, ms; below 0 it is late. */
  slackMs(now: number): number {
    return this.timeToTargetMs(now) - this.longestReadyMs;
  }

  /** Time left until it should be answered, ms. */
  timeToTargetMs(now: number): number {
    return this.targetAt - now;
  }

  /** Whether it can no longer be answered while the answer is of use, even if it had room now. */
  willExpire(now: number): boolean {
    return now + this.longestReadyMs > this.expiresAt;
  }

  /** Whether nothing of it has run and its caller gains nothing by waiting on. */
  willExpireUnstarted(now: number): boolean {
    return this.hasNotRun && this.willExpire(now);
  }

  /** The longest estimate of the tasks that are ready, ms; steps behind them are left out. */
  get longestReadyMs(): number {
    return this.ready.reduce((most, { step }) => Math.max(most, step.estimateMs), 0);
  }

  /** Takes a task that is ready, since it is being started and is expected to end then. */
  markStarting(task: BatchTask, endsAt = -Infinity): void {
    this.expectedEndAt = Math.max(this.expectedEndAt, endsAt);
    const at = this.ready.indexOf(task);
    if (at >= 0) this.ready.splice(at, 1);
    this.runs += 1;
    this.startsSent += 1;
  }

  /** A run of the task is over without a result: it is ready again. */
  requeue(task: BatchTask, now: number): void {
    if (this.final) return;
    task.readyAt = now;
    this.ready.unshift(task);
  }

  /** A task is done; opens the steps that waited for it, and answers when it was the last. */
  completeTask(task: BatchTask, now: number): void {
    const step = this.steps[task.stepNumber];
    if (!step || this.final) return;
    step.unfinished -= 1;
    if (step.unfinished > 0) return;
    if (this.unfinished === 0) this.finish({ kind: 'completed' });
    else this.openSteps(now);
  }

  /** Gives the batch its answer, unless it has one. */
  finish(answer: BatchAnswer): void {
    if (this.final) return;
    this.final = answer;
    this.ready.length = 0;
    this.waiters.splice(0).forEach((resolve) => resolve(answer));
  }

  /** A run is certainly over. */
  runEnded(): void {
    this.runs -= 1;
    if (this.runs === 0) this.idlers.splice(0).forEach((resolve) => resolve());
  }

  /** Resolves to the answer. */
  whenAnswered(): Promise<BatchAnswer> {
    if (this.final) return Promise.resolve(this.final);
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** Resolves when no run is left that could still go on. */
  whenIdle(): Promise<void> {
    if (this.runs === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idlers.push(resolve);
    });
  }

  private openSteps(now: number): void {
    this.steps.forEach((step, number) => {
      const after = this.submission.steps[number]?.after ?? [];
      if (step.isOpen || after.some((earlier) => this.steps[earlier]?.unfinished !== 0)) return;
      step.isOpen = true;
      step.tasks.forEach((task) => {
        task.readyAt = now;
        this.ready.push(task);
      });
    });
  }
}
