import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import {
  DoneSchema,
  RefusalCause,
  RefuseSchema,
  TaskStatus,
  type Credit,
  type Start,
  type TaskId,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Tracer from '../observe/Tracer';
import type Announcement from './Announcement';
import type BackendAnswer from './BackendAnswer';
import type BackendClient from './BackendClient';
import type BackendError from './BackendError';
import type CreditAllocator from './CreditAllocator';
import type LinkedEntries from './LinkedEntries';
import type LinkedEntry from './LinkedEntry';
import type Ledger from './Ledger';
import type LedgerTask from './LedgerTask';
import type RunningTask from './RunningTask';
import SidecarCounters from './SidecarCounters';
import type SlotTable from './SlotTable';
import TaskTrace from './TaskTrace';
import isMember from '../core/isMember';

const NO_OUTPUT = new Uint8Array();

interface TaskRunnerOptions {
  readonly timer: TimerService;
  readonly entries: LinkedEntries;
  readonly ledger: Ledger;
  readonly slots: SlotTable;
  readonly credits: CreditAllocator;
  readonly view: Versioned<View>;
  readonly client: BackendClient;
  readonly counters: SidecarCounters;
  readonly tracer: Tracer | undefined;
  /** The announced backend server; undefined without one. */
  readonly backend: () => Announcement | undefined;
  /** Called when no connection to the backend server can be established. */
  readonly onUnreachable: (backend: Announcement) => void;
  /** Largest output that a task of the service may have, bytes. */
  readonly maxOutputBytes: (service: string) => number;
}

type TaskResult = NonNullable<LedgerTask['result']>;

/**
 * Starts tasks at the backend server and reports their results. A refused start
 * was not run and never will be, except a duplicate, whose first start stands.
 */
export default class TaskRunner {
  private readonly running = new Map<string, RunningTask>();

  private readonly idleCallbacks = new Set<() => void>();

  /** Start requests without a credit that wait for an idle slot, oldest first. */
  private queued: QueuedStart[] = [];

  private isLeaving = false;

  private constructor(private readonly opts: TaskRunnerOptions) {}

  /** Creates a runner without tasks. */
  static of(opts: TaskRunnerOptions): TaskRunner {
    return new TaskRunner(opts);
  }

  /** Number of tasks whose call to the backend server has not ended. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Starts, queues or refuses the task of a start request. */
  handleStart(peer: LinkedEntry, start: Start): void {
    const { task } = start;
    if (!task) return;
    peer.recordOldestWait(start.nextWaitMs);
    const backend = this.opts.backend();
    const cause = this.refusalFor(task, start, backend);
    const trace = TaskTrace.begin(this.opts.tracer, start, peer.link.peer.instance);
    if (cause !== undefined || !backend) {
      this.refuse(peer, task, cause ?? RefusalCause.BACKEND_GONE, trace);
      this.revokeUnused(start.credit);
      return;
    }
    if (start.credit) {
      this.opts.slots.occupy(start.credit, peer.incarnation);
      this.callBackend(peer, start, backend, start.credit.slot, trace);
      return;
    }
    this.queued.push({ peer, start, trace });
    this.startQueued();
  }

  /** Cancels tasks: drops this entry's queued starts and aborts running ones that it owns. */
  handleCancel(from: LinkedEntry, ids: TaskId[]): void {
    this.cancelQueued(from, new Set(ids.map(taskNameOf)));
    ids.forEach((id) => {
      if (this.opts.ledger.findJob(id.job)?.owner !== from.incarnation) return;
      this.running.get(taskNameOf(id))?.callAbort.abort();
    });
  }

  /** Sends a task's result to the job's owner, if that entry is linked. */
  sendDone(id: TaskId, result: TaskResult, credit?: Credit): void {
    const job = this.opts.ledger.findJob(id.job);
    const peer = job && this.opts.entries.get(job.owner);
    peer?.send({ case: 'done', value: create(DoneSchema, { task: id, ...result, credit }) });
  }

  /** Refuses all further starts, and those queued, as leaving. */
  stopAccepting(): void {
    this.isLeaving = true;
    this.startQueued();
  }

  /** Starts queued tasks while slots are idle. Those whose link has ended are dropped without being run. */
  startQueued(): void {
    this.queued = this.queued.filter(({ peer }) => !peer.link.closed.aborted);
    while (this.queued.length > 0) {
      const { peer, start, trace } = this.queued[0]!;
      const backend = this.opts.backend();
      const cause = this.refusalFor(start.task!, start, backend);
      const slot = cause === undefined ? this.opts.slots.occupyIdle(peer.incarnation) : undefined;
      if (cause === undefined && slot === undefined) return;
      this.queued.shift();
      if (backend && slot !== undefined) this.callBackend(peer, start, backend, slot, trace);
      else this.refuse(peer, start.task!, cause ?? RefusalCause.BACKEND_GONE, trace);
    }
  }

  /** Resolves when no task is running. */
  whenIdle(): Promise<void> {
    if (this.running.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleCallbacks.add(resolve);
    });
  }

  /** Reports tasks that still run as lost, since this process will not receive their answers. */
  reportRemainingLost(): void {
    this.running.forEach((task) => {
      this.recordResult(
        task,
        emptyResult(TaskStatus.LOST, 'the sidecar stopped while the task ran'),
      );
      task.callAbort.abort();
    });
  }

  private refusalFor(
    task: TaskId,
    start: Start,
    backend: Announcement | undefined,
  ): RefusalCause | undefined {
    // Checked first: any other cause would tell the entry that this attempt was not run.
    if (this.opts.ledger.findTask(task)) return RefusalCause.DUPLICATE;
    if (this.isLeaving) return RefusalCause.LEAVING;
    if (backend?.service !== start.service) return RefusalCause.BACKEND_GONE;
    if (!isMember(this.opts.view.current, start.owner)) return RefusalCause.FENCED;
    if (start.credit && !this.opts.slots.isCurrent(start.credit)) return RefusalCause.STALE_CREDIT;
    if (!this.opts.ledger.hasCapacity) return RefusalCause.LEDGER_FULL;
    return undefined;
  }

  private refuse(peer: LinkedEntry, task: TaskId, cause: RefusalCause, trace?: TaskTrace): void {
    trace?.endWithRefusal(cause);
    SidecarCounters.increment(this.opts.counters.refusals, RefusalCause[cause]);
    peer.send({ case: 'refuse', value: create(RefuseSchema, { task, cause }) });
  }

  private revokeUnused(credit: Credit | undefined): void {
    if (credit && this.opts.slots.revoke(credit)) this.opts.credits.distribute();
  }

  private cancelQueued(from: LinkedEntry, names: ReadonlySet<string>): void {
    const isCancelled = ({ peer, start }: QueuedStart): boolean =>
      peer === from && names.has(taskNameOf(start.task!));
    const cancelled = this.queued.filter(isCancelled);
    this.queued = this.queued.filter((each) => !isCancelled(each));
    cancelled.forEach(({ start: { task }, trace }) => {
      const result = emptyResult(TaskStatus.CANCELLED, 'cancelled before it ran');
      trace?.endWithResult(result.status, result.reason);
      from.send({ case: 'done', value: create(DoneSchema, { task, ...result }) });
    });
  }

  private callBackend(
    peer: LinkedEntry,
    start: Start,
    backend: Announcement,
    slot: number,
    trace: TaskTrace | undefined,
  ): void {
    const id = start.task!;
    const task: RunningTask = {
      id,
      record: this.opts.ledger.recordStart(id, start),
      service: start.service,
      slot,
      startedBy: peer.incarnation,
      startedAt: this.opts.timer.now(),
      callAbort: new AbortController(),
      timeout: this.opts.timer.after(start.timeoutMs, () => this.handleTimeout(task)),
      trace,
    };
    this.running.set(taskNameOf(id), task);
    this.opts.counters.starts += 1;
    const call = {
      task: taskNameOf(id),
      input: start.input,
      timeoutMs: start.timeoutMs,
      traceparent: trace?.beginCall(backend) ?? start.traceparent,
    };
    this.opts.client.run(backend, call, task.callAbort.signal).match(
      (answer) => this.handleAnswer(task, answer),
      (err) => this.handleError(task, backend, err),
    );
  }

  private handleTimeout(task: RunningTask): void {
    this.recordResult(task, emptyResult(TaskStatus.TIMED_OUT, 'the task exceeded its timeout'));
  }

  private handleAnswer(task: RunningTask, answer: BackendAnswer): void {
    task.trace?.endCall(answer.ok ? undefined : answer.reason);
    const limit = this.opts.maxOutputBytes(task.service);
    const result =
      answer.output.byteLength > limit
        ? emptyResult(TaskStatus.FAILED, `the output exceeds ${limit} bytes`)
        : {
            status: answer.ok ? TaskStatus.COMPLETED : TaskStatus.FAILED,
            output: answer.output,
            runMs: 0,
            reason: answer.reason,
          };
    this.handleCallEnd(task, result);
  }

  private handleError(task: RunningTask, backend: Announcement, err: BackendError): void {
    task.trace?.endCall(err.reason);
    if (task.callAbort.signal.aborted) {
      this.handleCallEnd(task, emptyResult(TaskStatus.CANCELLED, 'cancelled while it ran'));
      return;
    }
    if (err.kind === 'unsent') {
      this.handleUnsent(task, backend);
      return;
    }
    this.handleCallEnd(task, emptyResult(TaskStatus.LOST, err.reason));
  }

  private handleUnsent(task: RunningTask, backend: Announcement): void {
    const owner = this.opts.ledger.findJob(task.id.job)?.owner;
    const peer = owner === undefined ? undefined : this.opts.entries.get(owner);
    const isReported = task.record.result !== undefined;
    if (!isReported) this.opts.ledger.removeStart(task.id);
    this.removeRunning(task);
    this.opts.onUnreachable(backend);
    this.opts.slots.release(task.slot);
    if (!isReported) task.trace?.endWithRefusal(RefusalCause.BACKEND_GONE);
    if (peer && !isReported) this.refuse(peer, task.id, RefusalCause.BACKEND_GONE);
  }

  /** Frees the slot, sends the result unless one was sent before, and returns the credit to its entry. */
  private handleCallEnd(task: RunningTask, result: TaskResult): void {
    this.removeRunning(task);
    const isReported = task.record.result !== undefined;
    const credit = this.opts.credits.reassign(task.slot, task.startedBy);
    const owner = this.opts.ledger.findJob(task.id.job)?.owner;
    const sendsCreditWithResult = !isReported && owner === task.startedBy;
    if (!isReported) this.recordResult(task, result, sendsCreditWithResult ? credit : undefined);
    const starter = this.opts.entries.get(task.startedBy);
    if (credit && !sendsCreditWithResult && starter) this.opts.credits.grant(starter, [credit]);
    this.startQueued();
  }

  private recordResult(task: RunningTask, result: TaskResult, credit?: Credit): void {
    if (task.record.result) return;
    const runMs = Math.round(this.opts.timer.now() - task.startedAt);
    const timedResult = { ...result, runMs };
    this.opts.ledger.recordResult(task.record, timedResult);
    SidecarCounters.increment(this.opts.counters.done, TaskStatus[result.status]);
    task.trace?.endWithResult(result.status, result.reason);
    this.sendDone(task.id, timedResult, credit);
  }

  private removeRunning(task: RunningTask): void {
    task.timeout.cancel();
    this.running.delete(taskNameOf(task.id));
    if (this.running.size > 0) return;
    this.idleCallbacks.forEach((resolve) => resolve());
    this.idleCallbacks.clear();
  }
}

/** A start request without a credit, and the entry whose link it came on. */
interface QueuedStart {
  readonly peer: LinkedEntry;
  readonly start: Start;
  readonly trace: TaskTrace | undefined;
}

function taskNameOf(id: TaskId): string {
  return `${id.job}/${id.index}/${id.attempt}`;
}

function emptyResult(status: TaskStatus, reason: string): TaskResult {
  return { status, output: NO_OUTPUT, runMs: 0, reason };
}
