import { create } from '@bufbuild/protobuf';
import jobKey from '../core/jobKey';
import type Dispatcher from '../dispatch/Dispatcher';
import type QueuedTask from '../dispatch/QueuedTask';
import {
  Action,
  type Answer,
  AnswerSchema,
  type JobRecord,
  Outcome,
  type Submission,
  type TaskResult,
  TaskResultSchema,
  TaskStatus,
} from '../gen/magnoliakeel/v1/peer_pb';
import type LocatedTask from '../recovery/LocatedTask';
import Job from './Job';
import type JobTableOptions from './JobTableOptions';
import type OwnerReply from './OwnerReply';
import type RecoveredState from '../recovery/RecoveredState';

/**
 * The jobs that this entry owns: one record for each, from its acceptance
 * until no resubmission of its id can be accepted any more.
 */
export default class JobTable {
  private readonly records = new Map<string, Job>();

  private readonly tasks = new Map<Job, ReadonlySet<QueuedTask>>();

  private readonly resolving = new Map<string, Promise<RecoveredState>>();

  private keptBytes = 0;

  private constructor(
    private readonly options: JobTableOptions,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** Creates an empty table whose accepted tasks go to the dispatcher. */
  static create(options: JobTableOptions, dispatcher: Dispatcher): JobTable {
    return new JobTable(options, dispatcher);
  }

  /** Number of records kept. */
  get size(): number {
    return this.records.size;
  }

  /** Number of jobs without an answer. */
  get openCount(): number {
    return this.tasks.size;
  }

  /** The record of a job, if there is one. */
  find(key: string): Job | undefined {
    return this.records.get(key);
  }

  /** Whether this entry holds or is about to hold a record of the job. */
  holds(key: string): boolean {
    return this.records.has(key);
  }

  /** Acts on a submission as the owner of its job. */
  handle(submission: Submission): Promise<OwnerReply> {
    return actions[submission.action](this, submission);
  }

  /** Accepts a submission, joins the job it repeats, or says why not. */
  async submit(submission: Submission): Promise<OwnerReply> {
    const key = keyOf(submission);
    const known = this.records.get(key);
    if (known) return this.joinAgain(known, submission);
    if (!this.options.ownsNew(key)) return NOT_OWNER;
    const untimely = this.checkAge(submission);
    if (untimely) return answerOf(untimely);
    const provenance = await this.resolve(key, Number(submission.createdMs));
    const meanwhile = this.records.get(key);
    if (meanwhile) return this.joinAgain(meanwhile, submission);
    if (!this.options.ownsNew(key)) return NOT_OWNER;
    return this.acceptFrom(provenance, key, submission);
  }

  /** Reports on a job without starting anything. */
  async lookup(submission: Submission): Promise<OwnerReply> {
    const key = keyOf(submission);
    const known = this.records.get(key);
    if (known) return answerOf(await known.waitForAnswer(submission.waitMs, this.options.timer));
    const holder = await this.holderOf(key, submission);
    if (holder) return holder;
    return answerOf(
      refusal(Outcome.ABSENT, 'no such job is known here; submit it to run or continue it'),
    );
  }

  /** Cancels a job: what waits leaves the queue, what runs is stopped if it can be. */
  async cancel(submission: Submission): Promise<OwnerReply> {
    const key = keyOf(submission);
    const known = this.records.get(key);
    if (known) {
      this.endEarly(known, Outcome.CANCELLED, 'cancelled by the caller');
      return answerOf(known.progress());
    }
    const holder = await this.holderOf(key, submission);
    return holder ?? answerOf(refusal(Outcome.ABSENT, 'no such job is known here'));
  }

  /**
   * Runs a request that nobody can ask for again, and keeps no record of it.
   * It leaves the queue unrun when its caller goes before it was started.
   */
  async runOnce(submission: Submission, gone: AbortSignal): Promise<Answer> {
    const key = keyOf(submission);
    const refused = this.refuseUnready(submission);
    if (refused) return refused;
    const job = this.accept(key, submission, []);
    const leaveQueue = () => {
      if (!job.hasStartedTasks) this.endEarly(job, Outcome.NOT_RUN, 'the caller has gone');
    };
    gone.addEventListener('abort', leaveQueue, { once: true });
    const answer = await job.whenAnswered();
    gone.removeEventListener('abort', leaveQueue);
    this.drop(job);
    return answer;
  }

  /** Drops records that no accepted resubmission can refer to any more. */
  dropExpired(): void {
    const now = this.options.timer.wall();
    this.records.forEach((job) => {
      const limit =
        job.createdMs + this.options.retentionOf(job.service) + this.options.clockSkewMs;
      if (job.isAnswered && limit < now) this.drop(job);
    });
  }

  /** Takes records that a leaving entry hands over. */
  importRecords(records: readonly JobRecord[]): void {
    records.forEach((record) => {
      if (!record.answer || this.records.has(record.job)) return;
      const job = Job.fromRecord(record, record.answer);
      this.records.set(job.key, job);
      this.keptBytes += job.bytes;
    });
  }

  /** The answered records, for handing over. */
  answeredRecords(): JobRecord[] {
    return [...this.records.values()]
      .map(({ record }) => record)
      .filter((record) => record !== undefined);
  }

  /** Keys of the jobs that had tasks on a sidecar. */
  jobKeysOnSidecar(sidecar: string): string[] {
    return [...this.records.values()]
      .filter((job) => job.taskSidecars.includes(sidecar))
      .map((job) => job.key);
  }

  /** Ends every open job, for an owner that was removed and may start nothing more. */
  abortOpenJobs(): void {
    [...this.tasks.keys()].forEach((job) => {
      job.ownershipLost = true;
      this.endEarly(job, Outcome.UNKNOWN, 'this entry lost its ownership; resubmit to continue');
      this.drop(job);
    });
  }

  private joinAgain(job: Job, submission: Submission): Promise<OwnerReply> {
    this.options.metrics?.wasted('duplicate_submission');
    return this.join(job, submission);
  }

  private async join(job: Job, submission: Submission): Promise<OwnerReply> {
    if (job.digest !== submission.digest) {
      return answerOf(refusal(Outcome.CONFLICT, 'this id was submitted before with another body'));
    }
    const answer = await job.waitForAnswer(submission.waitMs, this.options.timer);
    return job.ownershipLost
      ? { kind: 'notOwner', mayHaveRun: job.hasStartedTasks }
      : answerOf(answer);
  }

  private async holderOf(key: string, submission: Submission): Promise<OwnerReply | undefined> {
    if (!this.options.ownsNew(key)) return NOT_OWNER;
    const created = Number(submission.createdMs) || this.options.timer.wall();
    const provenance = await this.resolve(key, created);
    if (provenance.kind === 'held') return { kind: 'heldBy', incarnation: provenance.incarnation };
    if (provenance.kind === 'unavailable') return NOT_OWNER;
    return undefined;
  }

  private resolve(key: string, createdMs: number): Promise<RecoveredState> {
    const running = this.resolving.get(key);
    if (running) return running;
    const started = this.options.resolve(key, createdMs);
    this.resolving.set(key, started);
    started.then(({ kind }) => this.options.metrics?.jobResolved(kind));
    started.finally(() => this.resolving.delete(key));
    return started;
  }

  private async acceptFrom(
    provenance: RecoveredState,
    key: string,
    submission: Submission,
  ): Promise<OwnerReply> {
    if (provenance.kind === 'held') return { kind: 'heldBy', incarnation: provenance.incarnation };
    if (provenance.kind === 'unavailable') return NOT_OWNER;
    const refused = this.refuseUnready(submission, provenance.kind !== 'fresh');
    if (refused && provenance.kind === 'fresh') return answerOf(refused);
    if (refused) {
      return answerOf(refusal(Outcome.UNKNOWN, refused.reason, refused.retryAfterMs));
    }
    if (provenance.kind === 'fresh') return this.join(this.accept(key, submission, []), submission);
    const { digest, tasks, doubt } = provenance;
    if (digest !== undefined && digest !== submission.digest) {
      return answerOf(refusal(Outcome.CONFLICT, 'this id was submitted before with another body'));
    }
    return this.join(this.accept(key, submission, tasks, doubt), submission);
  }

  private accept(
    key: string,
    submission: Submission,
    evidence: readonly LocatedTask[],
    doubt = false,
  ): Job {
    const job = Job.fromSubmission(key, submission, this.options.timer.now());
    this.records.set(key, job);
    const tasks = submission.inputs.map((input, index) =>
      this.taskOf(job, submission, input, index),
    );
    this.tasks.set(job, new Set(tasks));
    this.keptBytes += job.inputBytes;
    const seen = bestEvidence(evidence);
    tasks.forEach((task) => {
      if (!job.isAnswered) this.begin(job, task, seen.get(task.index), doubt);
    });
    this.limitTime(job, submission);
    return job;
  }

  private begin(
    job: Job,
    task: QueuedTask,
    evidence: LocatedTask | undefined,
    doubt: boolean,
  ): void {
    if (evidence) {
      job.recordStart(task.index, evidence.sidecar);
      const { running, index, status, output, runMs, reason } = evidence.held;
      task.attempt = evidence.held.attempt;
      if (running) this.dispatcher.trackAdopted(task, evidence.sidecar);
      else task.onSettled(create(TaskResultSchema, { index, status, output, runMs, reason }));
      return;
    }
    if (doubt) {
      const { index } = task;
      const reason = 'it may have run where the record of it was lost';
      job.recordStart(index, '');
      task.onSettled(create(TaskResultSchema, { index, status: TaskStatus.LOST, reason }));
      return;
    }
    this.dispatcher.enqueue(task);
  }

  private taskOf(job: Job, submission: Submission, input: Uint8Array, index: number): QueuedTask {
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
      timeoutMs: this.options.taskTimeoutOf(submission.service),
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
        this.countResult(job, result, queuedAt);
        job.recordResult(result);
        if (job.isAnswered) this.finished(job);
      },
    };
    return task;
  }

  private countResult(job: Job, { status, runMs }: TaskResult, queuedAt: number): void {
    const { metrics, timer } = this.options;
    if (job.isAnswered) metrics?.wasted('result_untaken');
    else metrics?.taskSettled(job.service, status, timer.now() - queuedAt, runMs);
  }

  private limitTime(job: Job, submission: Submission): void {
    if (job.isAnswered) return;
    const limit = this.options.jobTimeoutOf(submission.service);
    const wanted = submission.deadlineMs || limit;
    const timeout = this.options.timer.after(Math.min(wanted, limit), () => {
      const { hasStartedTasks: anyStarted } = job;
      const outcome = anyStarted ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      this.endEarly(job, outcome, 'the deadline has passed');
    });
    job.whenAnswered().then(() => timeout.cancel());
  }

  private endEarly(job: Job, outcome: Outcome, reason: string): void {
    const tasks = this.tasks.get(job);
    job.end(outcome, reason, outcome === Outcome.NOT_RUN ? RESOLVE_AGAIN_MS : 0);
    if (tasks) this.dispatcher.cancel(tasks);
    this.finished(job);
  }

  /** Cleans up after a job's answer; a job that was not run may be submitted anew. */
  private finished(job: Job): void {
    const tasks = this.tasks.get(job);
    if (!tasks) return;
    this.tasks.delete(job);
    this.options.metrics?.jobFinished(job.service, this.options.timer.now() - job.acceptedAt);
    if (job.outcome !== Outcome.COMPLETED) this.dispatcher.dequeue(tasks);
    this.keptBytes += job.bytes - job.inputBytes;
    if (job.outcome === Outcome.NOT_RUN) this.drop(job);
  }

  private drop(job: Job): void {
    if (this.records.get(job.key) !== job) return;
    this.records.delete(job.key);
    this.keptBytes -= job.bytes;
  }

  private checkAge(submission: Submission): Answer | undefined {
    const now = this.options.timer.wall();
    const created = Number(submission.createdMs);
    if (created > now + this.options.clockSkewMs) {
      return refusal(Outcome.INVALID, 'the time of creation lies in the future');
    }
    if (created + this.options.retentionOf(submission.service) < now) {
      return refusal(
        Outcome.EXPIRED,
        'this id is older than the retention: it is not run now, and may have run before',
      );
    }
    return undefined;
  }

  private refuseUnready(submission: Submission, isContinued = false): Answer | undefined {
    return this.options.refuse(submission, this.keptBytes, isContinued);
  }
}

const NOT_OWNER: OwnerReply = { kind: 'notOwner', mayHaveRun: false };

/** The kind of a single request, as opposed to a job. */
const REQUEST_KIND = 'request';

/** When to come back after a refusal that a view change or a recovery will end. */
const RESOLVE_AGAIN_MS = 1000;

const actions: Record<Action, (jobs: JobTable, submission: Submission) => Promise<OwnerReply>> = {
  [Action.UNSPECIFIED]: async () => answerOf(refusal(Outcome.INVALID, 'no action was given')),
  [Action.SUBMIT]: (jobs, submission) => jobs.submit(submission),
  [Action.LOOKUP]: (jobs, submission) => jobs.lookup(submission),
  [Action.CANCEL]: (jobs, submission) => jobs.cancel(submission),
};

/** For each task the evidence that tells most: a finished attempt before a running one, both before a lost one. */
function bestEvidence(evidence: readonly LocatedTask[]): Map<number, LocatedTask> {
  const best = new Map<number, LocatedTask>();
  evidence.forEach((located) => {
    const known = best.get(located.held.index);
    if (!known || worthOf(located) > worthOf(known)) best.set(located.held.index, located);
  });
  return best;
}

function worthOf({ held }: LocatedTask): number {
  if (held.running) return 1;
  return held.status === TaskStatus.COMPLETED || held.status === TaskStatus.FAILED ? 2 : 0;
}

function keyOf({ service, kind, id }: Submission): string {
  return jobKey(service, kind, id);
}

function answerOf(answer: Answer): OwnerReply {
  return { kind: 'answer', answer };
}

function refusal(outcome: Outcome, reason: string, retryAfterMs = 0): Answer {
  return create(AnswerSchema, { outcome, reason, retryAfterMs });
}
