import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type FleetDurationRatios from '../placement/FleetDurationRatios';
import type Batch from './Batch';
import type BatchPolicy from './BatchPolicy';
import type BatchTask from './BatchTask';
import compareUrgencies from './compareUrgencies';
import durationRatiosOf from './durationRatiosOf';
import type DispatchedStart from './DispatchedStart';
import CapacitySearch from './CapacitySearch';
import type SidecarPeer from './SidecarPeer';
import type Urgency from './Urgency';
import type BacklogHead from './BacklogHead';

interface SchedulerOptions {
  readonly timer: TimerService;
  readonly zone: string;
  readonly policy: BatchPolicy;
  readonly fleet: FleetDurationRatios;
  /**
   * Factor by which a task takes longer away from its preferred label; undefined if operators have
   * not set one.
   */
  readonly remoteFactor?: number;
  readonly peers: () => Iterable<SidecarPeer>;
  /** Called for a batch of which no task has run and which will expire. */
  readonly onExpired: (batch: Batch) => void;
  /** Called with the starts of a batch that were dispatched in one pass. */
  readonly onDispatched: (batch: Batch, starts: readonly DispatchedStart[]) => void;
  /**
   * Called on an error in placing a batch. That batch has to be given up; the others are placed all
   * the same.
   */
  readonly onError: (batch: Batch, error: unknown) => void;
}

/**
 * Places the waiting tasks of this entry on free capacity, and notifies sidecars how urgently it
 * needs more, so that they can offer free capacity to the entry that needs it most.
 */
export default class Scheduler {
  private readonly waiting = new Set<Batch>();

  private isScheduled = false;

  private expiryCheck: Subscription | undefined;

  private cached: FleetState | undefined;

  /** Whether some sidecar currently knows of demand here. */
  private hasNotified = false;

  private readonly search = CapacitySearch.create();

  /** Batches of this pass in whose placement an error occurred. */
  private readonly failures = new Map<Batch, unknown>();

  private constructor(private readonly opts: SchedulerOptions) {}

  /** Creates a scheduler without batches. */
  static create(opts: SchedulerOptions): Scheduler {
    return new Scheduler(opts);
  }

  /**
   * Duration ratios, relative to the mean, of the machines that deviate from it, as last computed.
   */
  get machineRatios(): ReadonlyMap<SidecarPeer, number> {
    return this.cached?.machineRatios ?? new Map();
  }

  /** Number of ready tasks that wait for capacity. */
  get queued(): number {
    return [...this.waiting].reduce((sum, { ready }) => sum + ready.length, 0);
  }

  /** Batches with tasks that wait for capacity, in no particular order. */
  get backlog(): readonly Batch[] {
    return [...this.waiting].filter(({ ready }) => ready.length > 0);
  }

  /** Adds a batch that has ready tasks, now or later. */
  add(batch: Batch): void {
    this.waiting.add(batch);
    this.wake();
  }

  /** Removes a batch that has its answer: none of its tasks is started any more. */
  remove(batch: Batch): void {
    this.waiting.delete(batch);
    this.wake();
  }

  /**
   * Schedules a pass on a state change; it runs after the messages that have arrived are processed.
   */
  wake(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    queueMicrotask(() => {
      this.isScheduled = false;
      this.runPass();
    });
  }

  private runPass(): void {
    const { timer, zone, remoteFactor, peers: allPeers } = this.opts;
    // Most events require nothing here: no task is waiting, and no sidecar knows of demand.
    const { backlog } = this;
    if (!this.hasNotified && backlog.length === 0) return;
    const now = timer.now();
    const peers = [...allPeers()];
    const context = { ...this.fleetState(peers, now), peers, zone, remoteFactor, now };
    const heads = new Map<string, BacklogHead>();
    let pending = this.pending(backlog, now);
    while (pending.length > 0) {
      const first = pending.reduce(moreUrgent);
      const { service } = first.batch.submission.queue;
      const blocked = this.guard(first.batch, () => this.dispatchBatch(first.batch, context));
      if (blocked) heads.set(service, { urgency: first.urgency, needs: blocked.step.needs });
      // Where capacity of a service is short, no batch is placed before the head of its backlog.
      pending = pending.filter(
        (waiting) => waiting !== first && !heads.has(waiting.batch.submission.queue.service),
      );
    }
    const notified = this.search.select(peers, heads, now);
    this.hasNotified = notified.size > 0;
    peers.forEach((peer) => peer.flush(notified.has(peer) ? heads.get(peer.service) : undefined));
    this.reportFailures();
    if (this.backlog.length > 0) this.scheduleExpiryCheck();
  }

  private guard<T>(batch: Batch, action: () => T): T | undefined {
    try {
      return action();
    } catch (error) {
      this.failures.set(batch, error);
      return undefined;
    }
  }

  /**
   * Runs after the messages of the pass are sent, since the starts of these batches among them have
   * to be stopped.
   */
  private reportFailures(): void {
    const failures = [...this.failures];
    this.failures.clear();
    failures.forEach(([batch, error]) => this.opts.onError(batch, error));
  }

  /**
   * Schedules the search for expired batches. It does not run on each pass, since it takes long for
   * a long backlog.
   */
  private scheduleExpiryCheck(): void {
    this.expiryCheck ??= this.opts.timer.after(EXPIRY_CHECK_DELAY_MS, () => {
      this.expiryCheck = undefined;
      this.refuseExpired(this.opts.timer.now());
      this.wake();
    });
  }

  /**
   * The duration ratios and ejected backend servers; recomputed after a short time or when the
   * sidecars change.
   */
  private fleetState(peers: readonly SidecarPeer[], now: number): FleetState {
    const { cached } = this;
    if (cached && now - cached.at < FLEET_STATE_TTL_MS && cached.peerCount === peers.length)
      return cached;
    const { fleet, policy } = this.opts;
    const machineRatios = policy.machineRatios(fleet, peers);
    this.cached = {
      machineRatios,
      ejected: policy.findOutliers(peers, machineRatios),
      at: now,
      peerCount: peers.length,
    };
    return this.cached;
  }

  /** The backlog with the urgency of each batch. */
  private pending(backlog: readonly Batch[], now: number): readonly PendingBatch[] {
    const { urgency } = this.opts.policy;
    return backlog.flatMap((batch) => {
      const value = this.guard(batch, () => urgency(batch, now));
      return value ? [{ batch, urgency: value }] : [];
    });
  }

  /** Refuses the batches that have no capacity and whose answer would come too late. */
  private refuseExpired(now: number): void {
    this.backlog
      .filter((batch) => batch.willExpireUnstarted(now))
      .forEach((batch) => this.opts.onExpired(batch));
  }

  /**
   * Starts the tasks of a batch that can be started; returns the first one for which capacity is
   * short.
   */
  private dispatchBatch(batch: Batch, context: PassContext): BatchTask | undefined {
    const starts: DispatchedStart[] = [];
    const blocked = [...batch.ready].find((task) => {
      const peer =
        this.sharedPeer(batch, task, context, starts) ??
        this.opts.policy.choose({ batch, task, ...context });
      if (peer) starts.push(this.dispatchTask(batch, task, peer, context));
      const { step, suspicion } = task;
      const isConstrained = step.label !== '' || step.mostTogether > 0 || suspicion > 0;
      return !peer && !isConstrained;
    });
    if (starts.length > 0) this.opts.onDispatched(batch, starts);
    return blocked;
  }

  /** The sidecar of the previous task, if this one can share its message. */
  private sharedPeer(
    batch: Batch,
    task: BatchTask,
    context: PassContext,
    starts: readonly DispatchedStart[],
  ): SidecarPeer | undefined {
    const last = starts.at(-1);
    if (!last || last.task.step !== task.step) return undefined;
    const { peer } = last;
    const sharing = starts.filter((start) => start.peer === peer).length;
    if (!this.opts.policy.canShareMessage(peer, task, sharing)) return undefined;
    return this.opts.policy.choose({ batch, task, ...context, peers: [peer] });
  }

  private dispatchTask(
    batch: Batch,
    task: BatchTask,
    peer: SidecarPeer,
    context: PassContext,
  ): DispatchedStart {
    const { ejected, now } = context;
    const freeMilli = peer.free.cpuMilli;
    if (ejected.has(peer)) peer.probedAt = now;
    const durationRatios = durationRatiosOf(task, peer, context);
    peer.dispatch(batch, task, durationRatios);
    batch.markStarting(
      task,
      now + task.step.estimateMs * durationRatios.machine * durationRatios.distance,
    );
    return { task, peer, freeMilli, durationRatios };
  }
}

/** A batch of the backlog. */
interface PendingBatch {
  readonly batch: Batch;
  readonly urgency: Urgency;
}

function moreUrgent(a: PendingBatch, b: PendingBatch): PendingBatch {
  return compareUrgencies(b.urgency, a.urgency) < 0 ? b : a;
}

/**
 * Duration ratios and ejected backend servers, with the time and the number of sidecars that they
 * were computed from.
 */
interface FleetState {
  readonly machineRatios: ReadonlyMap<SidecarPeer, number>;
  readonly ejected: ReadonlySet<SidecarPeer>;
  readonly at: number;
  readonly peerCount: number;
}

/** How long the fleet state is reused, ms: it changes over some hundred. */
const FLEET_STATE_TTL_MS = 10;

/** A caller whose batch will expire is answered within this time, ms. */
const EXPIRY_CHECK_DELAY_MS = 50;

/** The input of placement that is the same for all tasks of a pass. */
type PassContext = Omit<Parameters<BatchPolicy['choose']>[0], 'batch' | 'task'> & {
  readonly peers: readonly SidecarPeer[];
};
