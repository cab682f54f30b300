import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import {
  type Answer,
  AnswerSchema,
  type JobRecord,
  JobRecordSchema,
  Outcome,
  type Submission,
  type TaskResult,
  TaskStatus,
} from '../gen/magnoliakeel/v1/peer_pb';
import aggregateResults from './aggregateResults';

/**
 * The owner's only record of a job: its results as they arrive, the sidecars at
 * which its tasks were started, and finally its answer. Results are stored by task
 * index; the first result of a task counts and later ones are ignored. The answer
 * is kept serialized, since most records are never requested again and there are
 * very many of them.
 */
export default class Job {
  /** Incarnation of the sidecar at which each task was last started, by task index. */
  readonly taskSidecars: (string | undefined)[];

  private results: (TaskResult | undefined)[];

  /** Final status of each task; 0 while it has not ended. */
  private readonly statuses: Uint8Array;

  private readonly waiters = new Set<(answer: Answer) => void>();

  /** True once this entry may no longer act for the job; its next owner continues it. */
  ownershipLost = false;

  /** Size of the inputs in bytes; they are kept while the job is open. */
  inputBytes = 0;

  private finishedCount = 0;

  private serializedAnswer: SerializedAnswer | undefined;

  private constructor(
    readonly key: string,
    readonly service: string,
    readonly digest: string,
    readonly createdMs: number,
    readonly size: number,
    /** Monotonic time at which this entry accepted the job. */
    readonly acceptedAt: number,
  ) {
    this.taskSidecars = new Array(size);
    this.results = new Array(size);
    this.statuses = new Uint8Array(size);
  }

  /** Creates the record of a newly accepted job. */
  static fromSubmission(key: string, submission: Submission, now: number): Job {
    const { service, digest, createdMs, inputs } = submission;
    const job = new Job(key, service, digest, Number(createdMs), inputs.length, now);
    job.inputBytes = inputs.reduce((sum, input) => sum + input.length, 0);
    return job;
  }

  /** Creates the record of a job that another entry finished. */
  static fromRecord({ job: key, digest, createdMs, sidecars }: JobRecord, answer: Answer): Job {
    const job = new Job(key, '', digest, Number(createdMs), answer.size, 0);
    sidecars.forEach((sidecar, index) => job.recordStart(index, sidecar));
    job.finish(answer);
    return job;
  }

  /** The record to hand over to the job's next owner, once there is an answer. */
  get record(): JobRecord | undefined {
    const { key: job, digest, answer } = this;
    if (!answer) return undefined;
    const sidecars = [...new Set(this.taskSidecars)].filter((sidecar) => sidecar !== undefined);
    const createdMs = BigInt(this.createdMs);
    return create(JobRecordSchema, { job, digest, createdMs, answer, sidecars });
  }

  /** Whether there is a final answer. */
  get isAnswered(): boolean {
    return this.serializedAnswer !== undefined;
  }

  /** The outcome of the final answer, once there is one. */
  get outcome(): Outcome | undefined {
    return this.serializedAnswer?.outcome;
  }

  /** The final answer, once there is one. It is deserialized at each call. */
  get answer(): Answer | undefined {
    return this.serializedAnswer && fromBinary(AnswerSchema, this.serializedAnswer.bytes);
  }

  /** Memory that the record uses once it has its answer, in bytes. */
  get bytes(): number {
    return RECORD_BYTES + this.size * TASK_BYTES + (this.serializedAnswer?.bytes.length ?? 0);
  }

  /** Records that a task is about to be started at a sidecar. */
  recordStart(index: number, sidecar: string): void {
    this.taskSidecars[index] = sidecar;
  }

  /** Records that the last start of a task is known not to have run. */
  clearStart(index: number): void {
    this.taskSidecars[index] = undefined;
  }

  /** Whether any task may have been started. */
  get hasStartedTasks(): boolean {
    return this.taskSidecars.some((sidecar) => sidecar !== undefined);
  }

  /** Final status of a task; undefined while it has not ended. */
  statusOf(index: number): TaskStatus | undefined {
    return this.statuses[index] || undefined;
  }

  /** Records a task's result and finishes the job when no further result can change its outcome. */
  recordResult(result: TaskResult): void {
    if (this.serializedAnswer || this.results[result.index]) return;
    this.results[result.index] = result;
    this.statuses[result.index] = result.status;
    this.finishedCount += 1;
    const answer = aggregateResults(this.results, this.finishedCount, this.hasStartedTasks);
    if (answer) this.finish(answer);
  }

  /**
   * Ends the job with an outcome that does not follow from its results: a
   * cancellation or a passed deadline.
   */
  end(outcome: Outcome, reason: string, retryAfterMs = 0): void {
    if (this.serializedAnswer) return;
    this.finish(create(AnswerSchema, { outcome, reason, size: this.size, retryAfterMs }));
  }

  /** The final answer, or a pending one with the number of finished tasks. */
  progress(): Answer {
    return (
      this.answer ??
      create(AnswerSchema, {
        outcome: Outcome.PENDING,
        size: this.size,
        finished: this.finishedCount,
      })
    );
  }

  /** The final answer, or the progress so far if the wait ends first. */
  waitForAnswer(waitMs: number, timer: TimerService): Promise<Answer> {
    if (this.serializedAnswer || waitMs <= 0) return Promise.resolve(this.progress());
    return new Promise((resolve) => {
      let timeout: Subscription | undefined;
      const finishWait = (answer: Answer) => {
        timeout?.cancel();
        this.waiters.delete(finishWait);
        resolve(answer);
      };
      timeout = timer.after(waitMs, () => finishWait(this.progress()));
      this.waiters.add(finishWait);
    });
  }

  /** Resolves with the final answer, without a time limit. */
  whenAnswered(): Promise<Answer> {
    const { answer } = this;
    if (answer) return Promise.resolve(answer);
    return new Promise((resolve) => {
      this.waiters.add(resolve);
    });
  }

  private finish(answer: Answer): void {
    this.serializedAnswer = { outcome: answer.outcome, bytes: toBinary(AnswerSchema, answer) };
    this.results = [];
    const waiters = [...this.waiters];
    // Clearing them releases the deserialized answer, which their promises would otherwise keep in memory.
    this.waiters.clear();
    waiters.forEach((resolve) => resolve(answer));
  }
}

/** A serialized answer, with its outcome for quick access. */
interface SerializedAnswer {
  readonly outcome: Outcome;
  readonly bytes: Uint8Array;
}

/** Memory of a record without answer and tasks, as reported by `npm run measure:capacity`. */
const RECORD_BYTES = 800;

/** Memory of a record for each task besides the answer: its sidecar and its status. */
const TASK_BYTES = 9;
