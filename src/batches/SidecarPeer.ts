import { create } from '@bufbuild/protobuf';
import type TimerService from '../core/TimerService';
import {
  type EntriesSeen,
  type Pulse,
  PulseSchema,
  type Room,
  RoomSchema,
  type RunEnd,
  type RunOrder,
  RunOrderSchema,
  type SeenEntry,
  StartRunsSchema,
  StopRunsSchema,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import pulseTimings from '../peering/pulseTimings';
import toAmount from '../room/toAmount';
import Resources from '../room/Resources';
import capacityOfferTimes from '../runs/capacityOfferTimes';
import type Batch from './Batch';
import type BatchTask from './BatchTask';
import DemandUpdates from './DemandUpdates';
import type DurationRatios from './DurationRatios';
import type DispatchedRun from './DispatchedRun';
import type BacklogHead from './BacklogHead';

/**
 * A sidecar as an entry sees it over one link: its free capacity, and the runs dispatched to it.
 * Free capacity is what it reported last less what was dispatched since.
 */
export default class SidecarPeer {
  readonly runs = new Map<number, DispatchedRun>();

  /** When this entry last confirmed to the sidecar that it is alive. */
  confirmedAt: number;

  private room: Room = create(RoomSchema);

  private total = Resources.none;

  private reportedFree = Resources.none;

  private reportedAt = 0;

  /**
   * Whether the reported capacity may be used for one message only: an offer to this entry, or
   * nothing.
   */
  private isSingleUse = false;

  /** Free capacity; computed on change, since it is read often. */
  private freeNow = Resources.none;

  private lastRunNumber = 0;

  /** When a task was last sent to probe this backend server while it was ejected. */
  probedAt = -Infinity;

  /** Nothing is dispatched before this time, since the sidecar has refused a start. */
  private pausedUntil = 0;

  /**
   * The other entries that are alive according to the sidecar; undefined before its first report.
   */
  liveEntries: readonly SeenEntry[] | undefined;

  /** The demand of the service's backlog that the sidecar was notified of. */
  private readonly demand = DemandUpdates.create();

  /** Start requests of the current pass, for one message per batch. */
  private readonly outbox = new Map<Batch, RunOrder[]>();

  private constructor(
    readonly link: Link,
    private readonly timer: TimerService,
  ) {
    this.confirmedAt = timer.now();
  }

  /** Creates the peer of a link that has just opened. */
  static of(link: Link, timer: TimerService): SidecarPeer {
    return new SidecarPeer(link, timer);
  }

  get instance(): string {
    return this.link.peer.instance;
  }

  get zone(): string {
    return this.link.peer.zone;
  }

  get service(): string {
    return this.room.service;
  }

  /** The backend server's kind and its rack. */
  get labels(): readonly string[] {
    return this.room.labels;
  }

  /** Total capacity of its backend server. */
  get capacity(): Resources {
    return this.total;
  }

  /** Current ratio of actual durations to estimates; undefined if unknown. */
  get slowness(): number | undefined {
    return this.room.slowness > 0 ? this.room.slowness / RATIO_SCALE : undefined;
  }

  /** Unique for each incarnation of its backend server. */
  get backend(): string {
    return this.room.backend;
  }

  /** Ratio of actual durations to estimates while it is healthy; undefined if unknown. */
  get durationRatio(): number | undefined {
    return this.room.speed > 0 ? this.room.speed / RATIO_SCALE : undefined;
  }

  /** Whether most of the recently ended runs failed. */
  get isFailing(): boolean {
    return this.room.failing;
  }

  /** Whether its backend server accepts tasks, as last reported. */
  get isAccepting(): boolean {
    return this.room.accepting;
  }

  /** Whether it may be given tasks now. */
  get isUsable(): boolean {
    const now = this.timer.now();
    return (
      this.room.accepting &&
      now >= this.pausedUntil &&
      this.silentMs < pulseTimings.suspectAfterMs &&
      !this.link.closed.aborted
    );
  }

  /** Whether it currently knows of demand here. */
  get hasDemand(): boolean {
    return this.demand.hasDemand;
  }

  /** Time since its last message, ms. */
  get silentMs(): number {
    return this.timer.now() - this.link.lastReceivedAt;
  }

  /** Age of its latest capacity report, ms. */
  get reportAgeMs(): number {
    return this.timer.now() - this.reportedAt;
  }

  /** Free capacity, as far as is known here. */
  get free(): Resources {
    return this.isSingleUse && this.reportAgeMs >= capacityOfferTimes.usableMs
      ? Resources.none
      : this.freeNow;
  }

  /** Number of active runs of a step of a batch. */
  runsOfStep(batch: Batch, stepNumber: number): number {
    const runs = [...this.runs.values()].filter((run) => run.batch === batch);
    return runs.filter(({ task }) => task.stepNumber === stepNumber).length;
  }

  /** Whether it runs a task under which a backend server has crashed before. */
  get hasSuspect(): boolean {
    return [...this.runs.values()].some(({ task }) => task.suspicion > 0);
  }

  /** Whether nothing runs there, as far as is known here. */
  get isEmpty(): boolean {
    return this.runs.size === 0 && this.freeNow.covers(this.total);
  }

  /** Applies its report of which other entries are alive. */
  handleEntriesSeen({ entries }: EntriesSeen): void {
    this.liveEntries = entries;
  }

  /** Applies its capacity report; false if an offer in it is ignored. */
  handleRoom(room: Room): boolean {
    this.room = room;
    this.total = Resources.of(room.total ?? {});
    this.reportedFree = Resources.of(room.free ?? {});
    this.reportedAt = this.timer.now();
    this.isSingleUse = room.inTurns;
    // An offer that was made before the latest start request arrived does not account for it, and a
    // further start might be refused.
    const isOffer = room.inTurns && !this.reportedFree.equals(Resources.none);
    const isOutdated = isOffer && room.newestOrder < this.lastRunNumber;
    if (isOutdated) this.clearFree();
    else this.updateFree();
    return !isOutdated;
  }

  /** Answers its pulse, which confirms to it that this entry is alive. */
  handlePulse({ sentMs }: Pulse): void {
    const now = this.timer.now();
    this.confirmedAt = now;
    this.link.send({ case: 'pulse', value: create(PulseSchema, { sentMs: now, echoMs: sentMs }) });
  }

  /** Dispatches a run of the task; it is sent with `flush`. */
  dispatch(
    batch: Batch,
    task: BatchTask,
    durationRatios: DurationRatios = AS_ESTIMATED,
  ): DispatchedRun {
    this.lastRunNumber += 1;
    const { step, stepNumber, index, attempt, suspicion } = task;
    const number = this.lastRunNumber;
    const dispatchedAt = this.timer.now();
    const run: DispatchedRun = {
      number,
      batch,
      task,
      dispatchedAt,
      durationRatios,
      isStopping: false,
    };
    this.runs.set(number, run);
    const { needs, mostTogether, label } = step;
    const estimateMs = Math.round(step.estimateMs * durationRatios.distance);
    this.freeNow = this.freeNow.minus(needs);
    const order = create(RunOrderSchema, {
      number,
      index,
      attempt,
      estimateMs,
      mostTogether,
      label,
      suspicion,
      step: stepNumber,
      needs: toAmount(needs),
    });
    this.outbox.set(batch, [...(this.outbox.get(batch) ?? []), order]);
    return run;
  }

  /**
   * Sends the start requests of the pass, and the head of the service's backlog if that is worth an
   * update; without `head` there is no demand here.
   */
  flush(head: BacklogHead | undefined): void {
    const hasOrders = this.outbox.size > 0;
    const demand = this.demand.next(head, hasOrders, this.timer.now());
    this.outbox.forEach((runs, { id, submission }) => {
      const { queue, spec } = submission;
      const { service } = queue;
      const value = create(StartRunsSchema, { batch: id, service, spec, runs, demand });
      this.link.send({ case: 'startRuns', value });
    });
    this.outbox.clear();
    if (hasOrders && this.isSingleUse) this.clearFree();
    if (demand && !hasOrders) this.link.send({ case: 'demand', value: demand });
  }

  /** Requests to stop the runs of a batch; the end of each is reported. */
  stop(batch: Batch): void {
    this.stopRuns([...this.runs.values()].filter((run) => run.batch === batch));
  }

  /** Requests to stop these runs. */
  stopRuns(wanted: readonly DispatchedRun[]): void {
    const runs = wanted.filter(({ isStopping }) => !isStopping);
    if (runs.length === 0) return;
    runs.forEach((run) => {
      run.isStopping = true;
    });
    const numbers = runs.map(({ number }) => number);
    this.link.send({ case: 'stopRuns', value: create(StopRunsSchema, { numbers }) });
  }

  /** Removes a run that has ended; undefined if it is unknown here. */
  removeEnded({ number }: RunEnd): DispatchedRun | undefined {
    const run = this.runs.get(number);
    this.runs.delete(number);
    // The last report counted it as active; the next one will not.
    const wasCounted = !this.isSingleUse && number <= this.room.newestOrder;
    if (run && wasCounted) this.reportedFree = this.reportedFree.plus(run.task.step.needs);
    if (run) this.updateFree();
    return run;
  }

  private updateFree(): void {
    const { newestOrder } = this.room;
    let free = this.reportedFree;
    this.runs.forEach(({ number, task }) => {
      if (number > newestOrder) free = free.minus(task.step.needs);
    });
    this.freeNow = free;
  }

  /**
   * Handles a refused start: the known free capacity is wrong, and the sidecar reports when there
   * is some.
   */
  handleRefusal(): void {
    this.pausedUntil = this.timer.now() + REFUSAL_PAUSE_MS;
    this.clearFree();
  }

  /** Treats the sidecar as full until its next report. The sidecar relies on that. */
  private clearFree(): void {
    this.isSingleUse = true;
    this.reportedFree = Resources.none;
    this.freeNow = Resources.none;
  }
}

const RATIO_SCALE = 1000;

const AS_ESTIMATED: DurationRatios = { machine: 1, distance: 1 };

/** A round trip and some more, in which the cause of the refusal may pass, ms. */
const REFUSAL_PAUSE_MS = 10;
