import needsExclusiveBackend from '../runs/needsExclusiveBackend';
import type BatchAnswer from './BatchAnswer';
import type BatchSubmission from './BatchSubmission';
import type BatchTask from './BatchTask';
import Objective from './Objective';

interface StepProgress {
  readonly tasks: readonly BatchTask[];
  unfinished: number;
  isReleased: boolean;
}

/**
 * A batch at the entry that accepted it: which tasks are ready, which are done, and finally its
 * answer. Placement is up to the scheduler.
 */
export default class Batch {
  /** Tasks that are ready, in the order in which they are to start. */
  readonly ready: BatchTask[] = [];

  /** Runs that were dispatched and are not known to have ended. */
  runs = 0;

  /** Number of callers that wait for the answer. */
  callers = 0;

  /** Number of runs that were ever dispatched. */
  startsSent = 0;

  /** Whether a backend server may have started a run. */
  mayHaveRun = false;

  /** When its latest runs are expected to end, by the timer service. */
  expectedEndAt = -Infinity;

  /** Its latency target and expiry. */
  readonly objective: Objective;

  /** When its caller made the first attempt, as far as is known. */
  private readonly firstAttemptAt: number;

  private readonly steps: readonly StepProgress[];

  private finalAnswer: BatchAnswer | undefined;

  private readonly answerWaiters: ((answer: BatchAnswer) => void)[] = [];

  private readonly idleWaiters: (() => void)[] = [];

  private constructor(
    readonly submission: BatchSubmission,
    /** When its request arrived, by the timer service. */
    readonly arrivedAt: number,
  ) {
    this.objective = Objective.of(submission);
    this.firstAttemptAt = arrivedAt - (submission.spentMs ?? 0);
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
      isReleased: false,
    }));
    this.releaseSteps(arrivedAt);
  }

  /** Accepts a batch; steps without predecessors are ready. */
  static accept(submission: BatchSubmission, now: number): Batch {
    return new Batch(submission, now - (submission.ageMs ?? 0));
  }

  get id(): string {
    return this.submission.id;
  }

  get answer(): BatchAnswer | undefined {
    return this.finalAnswer;
  }

  /** All tasks of all steps. */
  get tasks(): readonly BatchTask[] {
    return this.steps.flatMap(({ tasks }) => tasks);
  }

  /** A task that may only run alone, since backend servers crash under it. */
  get suspect(): BatchTask | undefined {
    return this.tasks.find(({ suspicion }) => needsExclusiveBackend(suspicion));
  }

  /** Number of tasks that are not done. */
  get unfinished(): number {
    return this.steps.reduce((sum, { unfinished }) => sum + unfinished, 0);
  }

  /** Estimated work of the ready tasks, in thousandths of a core times ms. */
  get readyWork(): number {
    return this.ready.reduce((sum, { step }) => sum + step.needs.cpuMilli * step.estimateMs, 0);
  }

  /** Whether nothing of it has run and no dispatched run may still be active. */
  get hasNotRun(): boolean {
    return this.runs === 0 && !this.mayHaveRun;
  }

  /** The latency target as a point in time, by the timer service. */
  get targetAt(): number {
    return this.firstAttemptAt + this.objective.targetMs;
  }

  /** When its answer loses its value, by the timer service. */
  get expiresAt(): number {
    return this.firstAttemptAt + this.objective.expiryMs;
  }

  /**
   * Time left until the remaining work has to start to meet the latency target, ms; below 0 it is
   * late.
   */
  slackMs(now: number): number {
    return this.timeToTargetMs(now) - this.longestReadyMs;
  }

  /** Time left until the latency target, ms. */
  timeToTargetMs(now: number): number {
    return this.targetAt - now;
  }

  /** Whether the answer would come too late to be of value even if all ready tasks started now. */
  willExpire(now: number): boolean {
    return now + this.longestReadyMs > this.expiresAt;
  }

  /**
   * Whether nothing of it has run and its answer would come too late to be of value, so that
   * waiting is pointless.
   */
  willExpireUnstarted(now: number): boolean {
    return this.hasNotRun && this.willExpire(now);
  }

  /** The longest estimate among the ready tasks, ms; later steps are ignored. */
  get longestReadyMs(): number {
    return this.ready.reduce((longest, { step }) => Math.max(longest, step.estimateMs), 0);
  }

  /** Removes a ready task, since it is being started; `endsAt` is when it is expected to end. */
  markStarting(task: BatchTask, endsAt = -Infinity): void {
    this.expectedEndAt = Math.max(this.expectedEndAt, endsAt);
    const at = this.ready.indexOf(task);
    if (at >= 0) this.ready.splice(at, 1);
    this.runs += 1;
    this.startsSent += 1;
  }

  /** Makes a task ready again after a run without a result. */
  requeue(task: BatchTask, now: number): void {
    if (this.finalAnswer) return;
    task.readyAt = now;
    this.ready.unshift(task);
  }

  /**
   * Marks a task as done; releases the steps that depended on it, and completes the batch after the
   * last task.
   */
  completeTask(task: BatchTask, now: number): void {
    const step = this.steps[task.stepNumber];
    if (!step || this.finalAnswer) return;
    step.unfinished -= 1;
    if (step.unfinished > 0) return;
    if (this.unfinished === 0) this.finish({ kind: 'completed' });
    else this.releaseSteps(now);
  }

  /** Sets the answer, unless there is one. */
  finish(answer: BatchAnswer): void {
    if (this.finalAnswer) return;
    this.finalAnswer = answer;
    this.ready.length = 0;
    this.answerWaiters.splice(0).forEach((resolve) => resolve(answer));
  }

  /** Records that a run is known to have ended. */
  runEnded(): void {
    this.runs -= 1;
    if (this.runs === 0) this.idleWaiters.splice(0).forEach((resolve) => resolve());
  }

  /** Resolves to the answer. */
  whenAnswered(): Promise<BatchAnswer> {
    if (this.finalAnswer) return Promise.resolve(this.finalAnswer);
    return new Promise((resolve) => {
      this.answerWaiters.push(resolve);
    });
  }

  /** Resolves when no run may still be active. */
  whenIdle(): Promise<void> {
    if (this.runs === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.push(resolve);
    });
  }

  private releaseSteps(now: number): void {
    this.steps.forEach((step, number) => {
      const after = this.submission.steps[number]?.after ?? [];
      if (step.isReleased || after.some((earlier) => this.steps[earlier]?.unfinished !== 0)) return;
      step.isReleased = true;
      step.tasks.forEach((task) => {
        task.readyAt = now;
        this.ready.push(task);
      });
    });
  }
}
