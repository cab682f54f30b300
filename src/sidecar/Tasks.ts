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
import type Credits from './Credits';
import type Entries from './Entries';
import type EntryPeer from './EntryPeer';
import type Ledger from './Ledger';
import type LedgerTask from './LedgerTask';
import type RunningTask from './RunningTask';
import SidecarCounters from './SidecarCounters';
import type Slots from './Slots';
import TaskTrace from './TaskTrace';
import isMember from '../core/isMember';

const NO_OUTPUT = new Uint8Array();

interface TasksParts {
  readonly timer: TimerService;
  readonly entries: Entries;
  readonly ledger: Ledger;
  readonly slots: Slots;
  readonly credits: Credits;
  readonly view: Versioned<View>;
  readonly client: BackendClient;
  readonly counters: SidecarCounters;
  readonly tracer: Tracer | undefined;
  /** The backend server that takes tasks now. */
  readonly backend: () => Announcement | undefined;
  /** Called when the backend server cannot be reached at all. */
  readonly unreachable: (backend: Announcement) => void;
  /** Largest output that a task of the service may have, bytes. */
  readonly maxOutputBytes: (service: string) => number;
}

type TaskResult = NonNullable<LedgerTask['result']>;

/**
 * Starts tasks and reports how they ended. Whatever is refused here was not
 * run and never will be, except a duplicate, whose first start stands.
 */
export default class Tasks {
  private readonly running = new Map<string, RunningTask>();

  private readonly drained = new Set<() => void>();

  /** Starts without a credit that wait for a free slot, oldest first. */
  private waiting: WaitingStart[] = [];

  private isLeaving = false;

  private constructor(private readonly parts: TasksParts) {}

  /** Creates the tasks of a sidecar. */
  static of(parts: TasksParts): Tasks {
    return new Tasks(parts);
  }

  /** Tasks whose call to the backend server has not ended. */
  get count(): number {
    return this.running.size;
  }

  /** Starts the task that an entry has sent, or refuses it. */
  start(peer: EntryPeer, start: Start): void {
    const { task } = start;
    if (!task) return;
    peer.hearWait(start.nextWaitMs);
    const backend = this.parts.backend();
    const cause = this.refusalOf(task, start, backend);
    const trace = TaskTrace.begin(this.parts.tracer, start, peer.link.peer.instance);
    if (cause !== undefined || !backend) {
      this.refuse(peer, task, cause ?? RefusalCause.BACKEND_GONE, trace);
      this.takeBack(start.credit);
      return;
    }
    if (start.credit) {
      this.parts.slots.take(start.credit, peer.incarnation);
      this.run(peer, start, backend, start.credit.slot, trace);
      return;
    }
    this.waiting.push({ peer, start, trace });
    this.startWaiting();
  }

  /** Ends the calls of running tasks that their owner no longer wants. */
  cancel(from: EntryPeer, ids: TaskId[]): void {
    this.cancelWaiting(from, new Set(ids.map(nameOf)));
    ids.forEach((id) => {
      if (this.parts.ledger.job(id.job)?.owner !== from.incarnation) return;
      this.running.get(nameOf(id))?.call.abort();
    });
  }

  /** Tells the owner of a task how it ended, when that owner is linked. */
  report(id: TaskId, result: TaskResult, credit?: Credit): void {
    const job = this.parts.ledger.job(id.job);
    const peer = job && this.parts.entries.get(job.owner);
    peer?.send({ case: 'done', value: create(DoneSchema, { task: id, ...result, credit }) });
  }

  /** Refuses all further starts as leaving. */
  leave(): void {
    this.isLeaving = true;
    this.startWaiting();
  }

  /** Starts what waits for a slot. What came on a link that has ended since is dropped unrun. */
  startWaiting(): void {
    this.waiting = this.waiting.filter(({ peer }) => !peer.link.closed.aborted);
    while (this.waiting.length > 0) {
      const { peer, start, trace } = this.waiting[0]!;
      const backend = this.parts.backend();
      const cause = this.refusalOf(start.task!, start, backend);
      const slot = cause === undefined ? this.parts.slots.takeIdle(peer.incarnation) : undefined;
      if (cause === undefined && slot === undefined) return;
      this.waiting.shift();
      if (backend && slot !== undefined) this.run(peer, start, backend, slot, trace);
      else this.refuse(peer, start.task!, cause ?? RefusalCause.BACKEND_GONE, trace);
    }
  }

  /** Resolves when no task is running. */
  drain(): Promise<void> {
    if (this.running.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.drained.add(resolve);
    });
  }

  /** Reports the tasks that still run as lost, since nobody will await them here. */
  abandon(): void {
    this.running.forEach((task) => {
      this.conclude(task, resultOf(TaskStatus.LOST, 'the sidecar stopped while the task ran'));
      task.call.abort();
    });
  }

  private refusalOf(
    task: TaskId,
    start: Start,
    backend: Announcement | undefined,
  ): RefusalCause | undefined {
    // Any other refusal would claim that this attempt was not run.
    if (this.parts.ledger.find(task)) return RefusalCause.DUPLICATE;
    if (this.isLeaving) return RefusalCause.LEAVING;
    if (backend?.service !== start.service) return RefusalCause.BACKEND_GONE;
    if (!isMember(this.parts.view.current, start.owner)) return RefusalCause.FENCED;
    if (start.credit && !this.parts.slots.isCurrent(start.credit)) return RefusalCause.STALE_CREDIT;
    if (!this.parts.ledger.hasRoom) return RefusalCause.LEDGER_FULL;
    return undefined;
  }

  private refuse(peer: EntryPeer, task: TaskId, cause: RefusalCause, trace?: TaskTrace): void {
    trace?.refused(cause);
    SidecarCounters.add(this.parts.counters.refusals, RefusalCause[cause]);
    peer.send({ case: 'refuse', value: create(RefuseSchema, { task, cause }) });
  }

  private takeBack(credit: Credit | undefined): void {
    if (credit && this.parts.slots.end(credit)) this.parts.credits.spread();
  }

  private cancelWaiting(from: EntryPeer, names: ReadonlySet<string>): void {
    const isCancelled = ({ peer, start }: WaitingStart): boolean =>
      peer === from && names.has(nameOf(start.task!));
    const cancelled = this.waiting.filter(isCancelled);
    this.waiting = this.waiting.filter((each) => !isCancelled(each));
    cancelled.forEach(({ start: { task }, trace }) => {
      const result = resultOf(TaskStatus.CANCELLED, 'cancelled before it ran');
      trace?.concluded(result.status, result.reason);
      from.send({ case: 'done', value: create(DoneSchema, { task, ...result }) });
    });
  }

  private run(
    peer: EntryPeer,
    start: Start,
    backend: Announcement,
    slot: number,
    trace: TaskTrace | undefined,
  ): void {
    const id = start.task!;
    const task: RunningTask = {
      id,
      record: this.parts.ledger.record(id, start),
      service: start.service,
      slot,
      user: peer.incarnation,
      startedAt: this.parts.timer.now(),
      call: new AbortController(),
      timeout: this.parts.timer.after(start.timeoutMs, () => this.timeOut(task)),
      trace,
    };
    this.running.set(nameOf(id), task);
    this.parts.counters.starts += 1;
    const call = {
      task: nameOf(id),
      input: start.input,
      timeoutMs: start.timeoutMs,
      traceparent: trace?.calling(backend) ?? start.traceparent,
    };
    this.parts.client.run(backend, call, task.call.signal).match(
      (answer) => this.answered(task, answer),
      (err) => this.unanswered(task, backend, err),
    );
  }

  private timeOut(task: RunningTask): void {
    this.conclude(task, resultOf(TaskStatus.TIMED_OUT, 'the task exceeded its timeout'));
  }

  private answered(task: RunningTask, answer: BackendAnswer): void {
    task.trace?.callEnded(answer.ok ? undefined : answer.reason);
    const limit = this.parts.maxOutputBytes(task.service);
    const result =
      answer.output.byteLength > limit
        ? resultOf(TaskStatus.FAILED, `the output exceeds ${limit} bytes`)
        : {
            status: answer.ok ? TaskStatus.COMPLETED : TaskStatus.FAILED,
            output: answer.output,
            runMs: 0,
            reason: answer.reason,
          };
    this.end(task, result);
  }

  private unanswered(task: RunningTask, backend: Announcement, err: BackendError): void {
    task.trace?.callEnded(err.reason);
    if (task.call.signal.aborted) {
      this.end(task, resultOf(TaskStatus.CANCELLED, 'cancelled while it ran'));
      return;
    }
    if (err.kind === 'unsent') {
      this.neverRan(task, backend);
      return;
    }
    this.end(task, resultOf(TaskStatus.LOST, err.reason));
  }

  private neverRan(task: RunningTask, backend: Announcement): void {
    const owner = this.parts.ledger.job(task.id.job)?.owner;
    const peer = owner === undefined ? undefined : this.parts.entries.get(owner);
    const isReported = task.record.result !== undefined;
    if (!isReported) this.parts.ledger.strike(task.id);
    this.forget(task);
    this.parts.unreachable(backend);
    this.parts.slots.release(task.slot);
    if (!isReported) task.trace?.refused(RefusalCause.BACKEND_GONE);
    if (peer && !isReported) this.refuse(peer, task.id, RefusalCause.BACKEND_GONE);
  }

  /** The call has ended: the result, unless there was one already, and the credit go out. */
  private end(task: RunningTask, result: TaskResult): void {
    this.forget(task);
    const isReported = task.record.result !== undefined;
    const credit = this.parts.credits.passOn(task.slot, task.user);
    const owner = this.parts.ledger.job(task.id.job)?.owner;
    const ridesBack = !isReported && owner === task.user;
    if (!isReported) this.conclude(task, result, ridesBack ? credit : undefined);
    const user = this.parts.entries.get(task.user);
    if (credit && !ridesBack && user) this.parts.credits.grant(user, [credit]);
    this.startWaiting();
  }

  private conclude(task: RunningTask, result: TaskResult, credit?: Credit): void {
    if (task.record.result) return;
    const runMs = Math.round(this.parts.timer.now() - task.startedAt);
    const timed = { ...result, runMs };
    this.parts.ledger.finish(task.record, timed);
    SidecarCounters.add(this.parts.counters.done, TaskStatus[result.status]);
    task.trace?.concluded(result.status, result.reason);
    this.report(task.id, timed, credit);
  }

  private forget(task: RunningTask): void {
    task.timeout.cancel();
    this.running.delete(nameOf(task.id));
    if (this.running.size > 0) return;
    this.drained.forEach((resolve) => resolve());
    this.drained.clear();
  }
}

/** A start that came without a credit, on the link it came on. */
interface WaitingStart {
  readonly peer: EntryPeer;
  readonly start: Start;
  readonly trace: TaskTrace | undefined;
}

function nameOf(id: TaskId): string {
  return `${id.job}/${id.index}/${id.attempt}`;
}

function resultOf(status: TaskStatus, reason: string): TaskResult {
  return { status, output: NO_OUTPUT, runMs: 0, reason };
}
