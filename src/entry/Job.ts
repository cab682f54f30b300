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
 * The one record of a job at its owner: its results as they come in, where its
 * tasks were started, and in the end its answer. Each task's result is bound
 * to its index; the first result counts and later ones are ignored. The answer
 * is kept packed, since most records are never asked for again and there are
 * very many of them.
 */
export default class Job {
  /** Where each task was started last, by sidecar incarnation. */
  readonly taskSidecars: (string | undefined)[];

  private results: (TaskResult | undefined)[];

  /** How each task ended; 0 while it has not. */
  private readonly statuses: Uint8Array;

  private readonly waiters = new Set<(answer: Answer) => void>();

  /** True once this entry may not act for the job any more; its next owner continues it. */
  ownershipLost = false;

  /** Bytes of the inputs, which are kept while the job is open. */
  inputBytes = 0;

  private finished = 0;

  private final: PackedAnswer | undefined;

  private constructor(
    readonly key: string,
    readonly service: string,
    readonly digest: string,
    readonly createdMs: number,
    readonly size: number,
    /** When this entry accepted it, by the timer service. */
    readonly acceptedAt: number,
  ) {
    this.taskSidecars = new Array(size);
    this.results = new Array(size);
    this.statuses = new Uint8Array(size);
  }

  /** Creates the record of a job that was just accepted. */
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

  /** The record for the job's next owner, once there is an answer. */
  get record(): JobRecord | undefined {
    const { key: job, digest, answer } = this;
    if (!answer) return undefined;
    const sidecars = [...new Set(this.taskSidecars)].filter((place) => place !== undefined);
    const createdMs = BigInt(this.createdMs);
    return create(JobRecordSchema, { job, digest, createdMs, answer, sidecars });
  }

  /** Whether there is a final answer. */
  get isAnswered(): boolean {
    return this.final !== undefined;
  }

  /** The outcome of the final answer, once there is one. */
  get outcome(): Outcome | undefined {
    return this.final?.outcome;
  }

  /** The final answer, once there is one, unpacked anew at each call. */
  get answer(): Answer | undefined {
    return this.final && fromBinary(AnswerSchema, this.final.bytes);
  }

  /** Bytes that the record keeps, once it has its answer. */
  get bytes(): number {
    return RECORD_BYTES + this.size * TASK_BYTES + (this.final?.bytes.length ?? 0);
  }

  /** Notes that a task is about to be started at a sidecar. */
  recordStart(index: number, sidecar: string): void {
    this.taskSidecars[index] = sidecar;
  }

  /** Notes that the last start of a task was proven not to have run. */
  clearStart(index: number): void {
    this.taskSidecars[index] = undefined;
  }

  /** Whether some task may have been started. */
  get hasStartedTasks(): boolean {
    return this.taskSidecars.some((place) => place !== undefined);
  }

  /** How a task ended; undefined while it has not. */
  statusOf(index: number): TaskStatus | undefined {
    return this.statuses[index] || undefined;
  }

  /** Takes a task's result and finishes the job when nothing else can change its outcome. */
  recordResult(result: TaskResult): void {
    if (this.final || this.results[result.index]) return;
    this.results[result.index] = result;
    this.statuses[result.index] = result.status;
    this.finished += 1;
    const verdict = aggregateResults(this.results, this.finished, this.hasStartedTasks);
    if (verdict) this.finish(verdict);
  }

  /** Ends the job with an outcome that its results do not give: cancelled or out of time. */
  end(outcome: Outcome, reason: string, retryAfterMs = 0): void {
    if (this.final) return;
    this.finish(create(AnswerSchema, { outcome, reason, size: this.size, retryAfterMs }));
  }

  /** Where the job stands now. */
  progress(): Answer {
    return (
      this.answer ??
      create(AnswerSchema, {
        outcome: Outcome.PENDING,
        size: this.size,
        finished: this.finished,
      })
    );
  }

  /** The answer, or where the job stands when the wait is over first. */
  waitForAnswer(waitMs: number, timer: TimerService): Promise<Answer> {
    if (this.final || waitMs <= 0) return Promise.resolve(this.progress());
    return new Promise((resolve) => {
      let timeout: Subscription | undefined;
      const settle = (answer: Answer) => {
        timeout?.cancel();
        this.waiters.delete(settle);
        resolve(answer);
      };
      timeout = timer.after(waitMs, () => settle(this.progress()));
      this.waiters.add(settle);
    });
  }

  /** The answer, however long it takes. */
  whenAnswered(): Promise<Answer> {
    const { answer } = this;
    if (answer) return Promise.resolve(answer);
    return new Promise((resolve) => {
      this.waiters.add(resolve);
    });
  }

  private finish(answer: Answer): void {
    this.final = { outcome: answer.outcome, bytes: toBinary(AnswerSchema, answer) };
    this.results = [];
    const waiters = [...this.waiters];
    // Kept, they would keep the unpacked answer.
    this.waiters.clear();
    waiters.forEach((settle) => settle(answer));
  }
}

/** An answer as protobuf bytes, with the outcome beside it. */
interface PackedAnswer {
  readonly outcome: Outcome;
  readonly bytes: Uint8Array;
}

/** Memory of a record without its answer and its tasks, as `npm run measure:capacity` shows it. */
const RECORD_BYTES = 800;

/** Memory that a record keeps for each task beside the answer: its place and its status. */
const TASK_BYTES = 9;
