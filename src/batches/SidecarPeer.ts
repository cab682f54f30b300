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
 * A sidecar as an entry sees it over one link: what room it has, and which runs were ordered there.
 * Room is what it reported last without what was ordered since.
 */
export default class SidecarPeer {
  readonly runs = new Map<number, DispatchedRun>();

  /** When this side last confirmed to the sidecar that it is awake. */
  confirmedAt: number;

  private room: Room = create(RoomSchema);

  private total = Resources.none;

  private reported = Resources.none;

  private reportedAt = 0;

  /** Whether what was reported is for one use, as an offer to this entry or nothing at all. */
  private isForOneUse = false;

  /** What was reported without what was ordered since; asked for often, so it is kept. */
  private left = Resources.none;

  private lastNumber = 0;

  /** When a task was last tried here although the backend server is shunned. */
  probedAt = -Infinity;

  /** No orders before this time: the sidecar has refused one. */
  private pausedUntil = 0;

  /** The other entries that the sidecar knows to be awake; undefined before it has told. */
  liveEntries: readonly SeenEntry[] | undefined;

  /** What the sidecar was told of the service's line here. */
  private readonly demand = DemandUpdates.create();

  /** Orders of this turn, for one message a batch. */
  private readonly outbox = new Map<Batch, RunOrder[]>();

  private constructor(
    readonly link: Link,
    private readonly timer: TimerService,
  ) {
    this.confirmedAt = timer.now();
  }

  /** Begins with a link that has just opened. */
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

  /** Everything that its backend server has. */
  get capacity(): Resources {
    return this.total;
  }

  /** Time that work takes there against its estimates; undefined when not known. */
  get slowness(): number | undefined {
    return this.room.slowness > 0 ? this.room.slowness / THOUSAND : undefined;
  }

  /** Unique for each life of its backend server. */
  get backend(): string {
    return this.room.backend;
  }

  /** Times the estimates that work takes there while it is well; undefined when not known. */
  get durationRatio(): number | undefined {
    return this.room.speed > 0 ? this.room.speed / THOUSAND : undefined;
  }

  /** Whether most of what ended there lately has failed. */
  get isFailing(): boolean {
    return this.room.failing;
  }

  /** Whether its backend server takes tasks, as far as it has told. */
  get isAccepting(): boolean {
    return this.room.accepting;
  }

  /** Whether it may be given tasks now. */
  get isUsable(): boolean {
    const now = this.timer.now();
    return (
      this.room.accepting &&
      now >= this.pausedUntil &&
      this.silentMs < pulseTimings.suspectMs &&
      !this.link.closed.aborted
    );
  }

  /** Whether it was told that something waits here. */
  get hasDemand(): boolean {
    return this.demand.hasDemand;
  }

  /** How long nothing was heard of it, ms. */
  get silentMs(): number {
    return this.timer.now() - this.link.lastReceivedAt;
  }

  /** How old its newest report of room is, ms. */
  get reportAgeMs(): number {
    return this.timer.now() - this.reportedAt;
  }

  /** Room that is left, as far as is known here. */
  get free(): Resources {
    return this.isForOneUse && this.reportAgeMs >= capacityOfferTimes.usableMs
      ? Resources.none
      : this.left;
  }

  /** Tasks of the step of a batch that are there. */
  runsOfStep(batch: Batch, stepNumber: number): number {
    const runs = [...this.runs.values()].filter((run) => run.batch === batch);
    return runs.filter(({ task }) => task.stepNumber === stepNumber).length;
  }

  /** Whether a task is there under which a backend server has crashed before. */
  get hasSuspect(): boolean {
    return [...this.runs.values()].some(({ task }) => task.suspicion > 0);
  }

  /** Whether nothing runs there, as far as is known here. */
  get isEmpty(): boolean {
    return this.runs.size === 0 && this.left.covers(this.total);
  }

  /** Takes its word on which other entries are awake. */
  handleEntriesSeen({ entries }: EntriesSeen): void {
    this.liveEntries = entries;
  }

  /** Takes a report of its room; false when an offer in it is passed over. */
  handleRoom(room: Room): boolean {
    this.room = room;
    this.total = Resources.of(room.total ?? {});
    this.reported = Resources.of(room.free ?? {});
    this.reportedAt = this.timer.now();
    this.isForOneUse = room.inTurns;
    // An offer that was made while an order was under way does not know of it, and may have to be refused.
    const isOffer = room.inTurns && !this.reported.equals(Resources.none);
    const isPassedOver = isOffer && room.newestOrder < this.lastNumber;
    if (isPassedOver) this.forgetRoom();
    else this.reckonLeft();
    return !isPassedOver;
  }

  /** Answers its pulse, which confirms to it that this entry is awake. */
  handlePulse({ sentMs }: Pulse): void {
    const now = this.timer.now();
    this.confirmedAt = now;
    this.link.send({ case: 'pulse', value: create(PulseSchema, { sentMs: now, echoMs: sentMs }) });
  }

  /** Orders a run of the task; it is sent with `flush`. */
  dispatch(batch: Batch, task: BatchTask, there: DurationRatios = AS_ESTIMATED): DispatchedRun {
    this.lastNumber += 1;
    const { step, stepNumber, index, attempt, suspicion } = task;
    const number = this.lastNumber;
    const orderedAt = this.timer.now();
    const run: DispatchedRun = {
      number,
      batch,
      task,
      dispatchedAt: orderedAt,
      durationRatios: there,
      isStopping: false,
    };
    this.runs.set(number, run);
    const { needs, mostTogether, label } = step;
    const estimateMs = Math.round(step.estimateMs * there.distance);
    this.left = this.left.minus(needs);
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
   * Sends the orders of this turn, and what is first in line for the service's room if that is news; without
   * `head` nothing is asked for here.
   */
  flush(head: BacklogHead | undefined): void {
    const isOrdering = this.outbox.size > 0;
    const demand = this.demand.next(head, isOrdering, this.timer.now());
    this.outbox.forEach((runs, { id, submission }) => {
      const { queue, spec } = submission;
      const { service } = queue;
      const value = create(StartRunsSchema, { batch: id, service, spec, runs, demand });
      this.link.send({ case: 'startRuns', value });
    });
    this.outbox.clear();
    if (isOrdering && this.isForOneUse) this.forgetRoom();
    if (demand && !isOrdering) this.link.send({ case: 'demand', value: demand });
  }

  /** Asks to stop the runs of a batch; each is reported once it is over. */
  stop(batch: Batch): void {
    this.stopRuns([...this.runs.values()].filter((run) => run.batch === batch));
  }

  /** Asks to stop these runs. */
  stopRuns(wanted: readonly DispatchedRun[]): void {
    const runs = wanted.filter(({ isStopping }) => !isStopping);
    if (runs.length === 0) return;
    runs.forEach((run) => {
      run.isStopping = true;
    });
    const numbers = runs.map(({ number }) => number);
    this.link.send({ case: 'stopRuns', value: create(StopRunsSchema, { numbers }) });
  }

  /** Takes the end of a run; undefined when it is not known here. */
  removeEnded({ number }: RunEnd): DispatchedRun | undefined {
    const run = this.runs.get(number);
    this.runs.delete(number);
    // The last report counted it as taken; the next one will not.
    const isCounted = !this.isForOneUse && number <= this.room.newestOrder;
    if (run && isCounted) this.reported = this.reported.plus(run.task.step.needs);
    if (run) this.reckonLeft();
    return run;
  }

  private reckonLeft(): void {
    const { newestOrder } = this.room;
    let left = this.reported;
    this.runs.forEach(({ number, task }) => {
      if (number > newestOrder) left = left.minus(task.step.needs);
    });
    this.left = left;
  }

  /** It has refused an order: what was known of its room is wrong, and it tells when there is some. */
  handleRefusal(): void {
    this.pausedUntil = this.timer.now() + REFUSED_PAUSE_MS;
    this.forgetRoom();
  }

  /** From here on there is no room until the next report. The sidecar reckons with that. */
  private forgetRoom(): void {
    this.isForOneUse = true;
    this.reported = Resources.none;
    this.left = Resources.none;
  }
}

const THOUSAND = 1000;

const AS_ESTIMATED: DurationRatios = { machine: 1, distance: 1 };

/** A round trip and some more, in which whatever the reason was may pass, ms. */
const REFUSED_PAUSE_MS = 10;
