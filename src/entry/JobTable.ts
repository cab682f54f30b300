import { create } from '@bufbuild/protobuf';
import jobKey from '../core/jobKey';
import type Dispatcher from '../dispatch/Dispatcher';
import type QueuedTask from '../dispatch/QueuedTask';
import {
  Action,
  type Answer,
  AnswerSchema,
  Outcome,
  type Submission,
  type TaskResult,
  TaskResultSchema,
  TaskStatus,
} from '../gen/magnoliakeel/v1/peer_pb';
import type LocatedTask from '../recovery/LocatedTask';
import bestReports from './bestReports';
import Job from './Job';
import JobRecords from './JobRecords';
import type JobTableOptions from './JobTableOptions';
import type OwnerReply from './OwnerReply';
import type RecoveredState from '../recovery/RecoveredState';

/**
 * The jobs that this entry owns. Each has one record, from its acceptance until no
 * resubmission of its id can be accepted any more.
 */
export default class JobTable {
  readonly records = JobRecords.create();

  private readonly openTasks = new Map<Job, ReadonlySet<QueuedTask>>();

  private readonly recoveries = new Map<string, Promise<RecoveredState>>();

  private constructor(
    private readonly options: JobTableOptions,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** Creates an empty table that queues the tasks of accepted jobs in the dispatcher. */
  static create(options: JobTableOptions, dispatcher: Dispatcher): JobTable {
    return new JobTable(options, dispatcher);
  }

  /** Number of jobs without an answer. */
  get openCount(): number {
    return this.openTasks.size;
  }

  /** Processes a submission as the owner of its job. */
  handle(submission: Submission): Promise<OwnerReply> {
    return actions[submission.action](this, submission);
  }

  /** Accepts a submission, joins the job that it repeats, or returns a refusal. */
  async submit(submission: Submission): Promise<OwnerReply> {
    const key = keyOf(submission);
    const known = this.records.find(key);
    if (known) return this.joinDuplicate(known, submission);
    if (!this.options.ownsKey(key)) return NOT_OWNER;
    const refused = this.refusalByAge(submission);
    if (refused) return answerReply(refused);
    const recovered = await this.recover(key, Number(submission.createdMs));
    const acceptedMeanwhile = this.records.find(key);
    if (acceptedMeanwhile) return this.joinDuplicate(acceptedMeanwhile, submission);
    if (!this.options.ownsKey(key)) return NOT_OWNER;
    return this.acceptRecovered(recovered, key, submission);
  }

  /** Returns the state of a job without starting anything. */
  async lookup(submission: Submission): Promise<OwnerReply> {
    const key = keyOf(submission);
    const known = this.records.find(key);
    if (known) return answerReply(await known.waitForAnswer(submission.waitMs, this.options.timer));
    const holder = await this.findHolder(key, submission);
    if (holder) return holder;
    return answerReply(
      refusal(Outcome.ABSENT, 'no such job is known here; submit it to run or continue it'),
    );
  }

  /** Cancels a job: queued tasks leave the queue, running ones are stopped if possible. */
  async cancel(submission: Submission): Promise<OwnerReply> {
    const key = keyOf(submission);
    const known = this.records.find(key);
    if (known) {
      this.endEarly(known, Outcome.CANCELLED, 'cancelled by the caller');
      const { record } = known;
      if (record?.answer?.outcome === Outcome.CANCELLED) await this.options.saveCancelled(record);
      return answerReply(known.progress());
    }
    const holder = await this.findHolder(key, submission);
    return holder ?? answerReply(refusal(Outcome.ABSENT, 'no such job is known here'));
  }

  /**
   * Runs a request that can't be resubmitted, and keeps no record of it afterwards.
   * If its caller disconnects before it was started, it is removed from the queue.
   */
  async runOnce(submission: Submission, callerGone: AbortSignal): Promise<Answer> {
    const key = keyOf(submission);
    const refused = this.refusalFor(submission);
    if (refused) return refused;
    const job = this.accept(key, submission, []);
    const leaveQueue = () => {
      if (!job.hasStartedTasks) this.endEarly(job, Outcome.NOT_RUN, 'the caller has gone');
    };
    callerGone.addEventListener('abort', leaveQueue, { once: true });
    const answer = await job.whenAnswered();
    callerGone.removeEventListener('abort', leaveQueue);
    this.records.drop(job);
    return answer;
  }

  /** Drops records that no accepted resubmission can refer to any more. */
  dropExpired(): void {
    const { timer, clockSkewMs, retentionMsOf } = this.options;
    const now = timer.wall();
    this.records.dropAnswered(
      ({ createdMs, service }) => createdMs + retentionMsOf(service) + clockSkewMs < now,
    );
  }

  /**
   * Ends every open job, for an entry that was removed from the view and may not
   * start anything more.
   */
  abortOpenJobs(): void {
    [...this.openTasks.keys()].forEach((job) => {
      job.ownershipLost = true;
      this.endEarly(job, Outcome.UNKNOWN, 'this entry lost its ownership; resubmit to continue');
      this.records.drop(job);
    });
  }

  private joinDuplicate(job: Job, submission: Submission): Promise<OwnerReply> {
    this.options.metrics?.messagesWasted('duplicate_submission');
    return this.join(job, submission);
  }

  private async join(job: Job, submission: Submission): Promise<OwnerReply> {
    if (job.digest !== submission.digest) {
      return answerReply(
        refusal(Outcome.CONFLICT, 'this id was submitted before with another body'),
      );
    }
    const answer = await job.waitForAnswer(submission.waitMs, this.options.timer);
    return job.ownershipLost
      ? { kind: 'notOwner', mayHaveRun: job.hasStartedTasks }
      : answerReply(answer);
  }

  private async findHolder(key: string, submission: Submission): Promise<OwnerReply | undefined> {
    if (!this.options.ownsKey(key)) return NOT_OWNER;
    const createdMs = Number(submission.createdMs) || this.options.timer.wall();
    const recovered = await this.recover(key, createdMs);
    if (recovered.kind === 'held') return { kind: 'heldBy', incarnation: recovered.incarnation };
    if (recovered.kind === 'unavailable') return NOT_OWNER;
    return undefined;
  }

  private recover(key: string, createdMs: number): Promise<RecoveredState> {
    const pending = this.recoveries.get(key);
    if (pending) return pending;
    const recovery = this.options.recover(key, createdMs);
    this.recoveries.set(key, recovery);
    recovery.then(({ kind }) => this.options.metrics?.jobStateRecovered(kind));
    recovery.finally(() => this.recoveries.delete(key));
    return recovery;
  }

  private async acceptRecovered(
    recovered: RecoveredState,
    key: string,
    submission: Submission,
  ): Promise<OwnerReply> {
    if (recovered.kind === 'held') return { kind: 'heldBy', incarnation: recovered.incarnation };
    if (recovered.kind === 'unavailable') return NOT_OWNER;
    const refused = this.refusalFor(submission, recovered.kind !== 'fresh');
    if (refused && recovered.kind === 'fresh') return answerReply(refused);
    if (refused) {
      return answerReply(refusal(Outcome.UNKNOWN, refused.reason, refused.retryAfterMs));
    }
    if (recovered.kind === 'fresh') return this.join(this.accept(key, submission, []), submission);
    const { digest, tasks, doubt } = recovered;
    if (digest !== undefined && digest !== submission.digest) {
      return answerReply(
        refusal(Outcome.CONFLICT, 'this id was submitted before with another body'),
      );
    }
    return this.join(this.accept(key, submission, tasks, doubt), submission);
  }

  private accept(
    key: string,
    submission: Submission,
    reports: readonly LocatedTask[],
    reportsMayBeLost = false,
  ): Job {
    const job = Job.fromSubmission(key, submission, this.options.timer.now());
    const tasks = submission.inputs.map((input, index) =>
      this.createTask(job, submission, input, index),
    );
    this.openTasks.set(job, new Set(tasks));
    this.records.addOpen(job);
    const best = bestReports(reports);
    tasks.forEach((task) => {
      if (!job.isAnswered) this.resumeOrEnqueue(job, task, best.get(task.index), reportsMayBeLost);
    });
    this.armDeadline(job, submission);
    return job;
  }

  private resumeOrEnqueue(
    job: Job,
    task: QueuedTask,
    report: LocatedTask | undefined,
    reportsMayBeLost: boolean,
  ): void {
    if (report) {
      job.recordStart(task.index, report.sidecar);
      const { running, index, status, output, runMs, reason } = report.held;
      task.attempt = report.held.attempt;
      if (running) this.dispatcher.trackAdopted(task, report.sidecar);
      else task.onSettled(create(TaskResultSchema, { index, status, output, runMs, reason }));
      return;
    }
    if (reportsMayBeLost) {
      const { index } = task;
      const reason = 'it may have run where the record of it was lost';
      job.recordStart(index, '');
      task.onSettled(create(TaskResultSchema, { index, status: TaskStatus.LOST, reason }));
      return;
    }
    this.dispatcher.enqueue(task);
  }

  private createTask(
    job: Job,
    submission: Submission,
    input: Uint8Array,
    index: number,
  ): QueuedTask {
    const queuedAt = this.options.timer.now();
    const task: QueuedTask = {
      job: job.key,
      index,
      service: submission.service,
      team: submission.team,
      input,
      digest: submission.digest,
      jobSize: job.size,
      createdMs: submission.createdMs,
      timeoutMs: this.options.taskTimeoutMsOf(submission.service),
      traceparent: submission.traceparent,
      retryable: submission.kind === REQUEST_KIND && submission.idempotent,
      queuedAt,
      attempt: 0,
      isWanted: () => !job.isAnswered,
      onStarting: (sidecar) => job.recordStart(index, sidecar),
      onNotStarted: () => {
        if (task.attempt === 0) job.clearStart(index);
      },
      onSettled: (result) => {
        this.recordTaskMetrics(job, result, queuedAt);
        job.recordResult(result);
        if (job.isAnswered) this.handleFinished(job);
      },
    };
    return task;
  }

  private recordTaskMetrics(job: Job, { status, runMs }: TaskResult, queuedAt: number): void {
    const { metrics, timer } = this.options;
    if (job.isAnswered) metrics?.messagesWasted('result_untaken');
    else metrics?.taskSettled(job.service, status, timer.now() - queuedAt, runMs);
  }

  private armDeadline(job: Job, submission: Submission): void {
    if (job.isAnswered) return;
    const limitMs = this.options.jobTimeoutMsOf(submission.service);
    const requestedMs = submission.deadlineMs || limitMs;
    const timeout = this.options.timer.after(Math.min(requestedMs, limitMs), () => {
      const { hasStartedTasks } = job;
      const outcome = hasStartedTasks ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      this.endEarly(job, outcome, 'the deadline has passed');
    });
    job.whenAnswered().then(() => timeout.cancel());
  }

  private endEarly(job: Job, outcome: Outcome, reason: string): void {
    const tasks = this.openTasks.get(job);
    job.end(outcome, reason, outcome === Outcome.NOT_RUN ? RESUBMIT_AFTER_MS : 0);
    if (tasks) this.dispatcher.cancel(tasks);
    this.handleFinished(job);
  }

  /**
   * Cleans up after a job's answer. The record of a job that was not run is
   * dropped, so that the job can be resubmitted.
   */
  private handleFinished(job: Job): void {
    const tasks = this.openTasks.get(job);
    if (!tasks) return;
    this.openTasks.delete(job);
    this.options.metrics?.jobFinished(job.service, this.options.timer.now() - job.acceptedAt);
    if (job.outcome !== Outcome.COMPLETED) this.dispatcher.dequeue(tasks);
    this.records.recordAnswered(job);
    if (job.outcome === Outcome.NOT_RUN) this.records.drop(job);
  }

  private refusalByAge(submission: Submission): Answer | undefined {
    const now = this.options.timer.wall();
    const createdMs = Number(submission.createdMs);
    if (createdMs > now + this.options.clockSkewMs) {
      return refusal(Outcome.INVALID, 'the time of creation lies in the future');
    }
    if (createdMs + this.options.retentionMsOf(submission.service) < now) {
      return refusal(
        Outcome.EXPIRED,
        'this id is older than the retention: it is not run now, and may have run before',
      );
    }
    return undefined;
  }

  private refusalFor(submission: Submission, isContinued = false): Answer | undefined {
    return this.options.refusalFor(submission, this.records.keptBytes, isContinued);
  }
}

const NOT_OWNER: OwnerReply = { kind: 'notOwner', mayHaveRun: false };

/** The kind of a single request, as opposed to a job. */
const REQUEST_KIND = 'request';

/** Retry delay after a refusal that a view change or a recovery will resolve. */
const RESUBMIT_AFTER_MS = 1000;

const actions: Record<Action, (jobs: JobTable, submission: Submission) => Promise<OwnerReply>> = {
  [Action.UNSPECIFIED]: async () => answerReply(refusal(Outcome.INVALID, 'no action was given')),
  [Action.SUBMIT]: (jobs, submission) => jobs.submit(submission),
  [Action.LOOKUP]: (jobs, submission) => jobs.lookup(submission),
  [Action.CANCEL]: (jobs, submission) => jobs.cancel(submission),
};

function keyOf({ service, kind, id }: Submission): string {
  return jobKey(service, kind, id);
}

function answerReply(answer: Answer): OwnerReply {
  return { kind: 'answer', answer };
}

function refusal(outcome: Outcome, reason: string, retryAfterMs = 0): Answer {
  return create(AnswerSchema, { outcome, reason, retryAfterMs });
}
