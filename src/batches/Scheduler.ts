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
  /** Times that a task takes away from the label that it prefers; undefined where operators don't say. */
  readonly remoteFactor?: number;
  readonly peers: () => Iterable<SidecarPeer>;
  /** Told of a batch of which nothing has run and that waits in vain. */
  readonly waitedInVain: (batch: Batch) => void;
  /** Told of the starts of a batch that are ordered in one turn. */
  readonly ordered: (batch: Batch, starts: readonly DispatchedStart[]) => void;
  /** Told of an error in placing a batch, which is to be given up: the others are placed all the same. */
  readonly failed: (batch: Batch, error: unknown) => void;
}

/**
 * Gives free room to the tasks that wait at this entry, and tells the sidecars how urgently it waits
 * for more, so that they can offer what room there is to the entry that needs it most.
 */
export default class Scheduler {
  private readonly waiting = new Set<Batch>();

  private isDue = false;

  private sweep: Subscription | undefined;

  private found: Found | undefined;

  /** Whether some sidecar was told that something waits here. */
  private hasAsked = false;

  private readonly search = CapacitySearch.create();

  /** Batches of this turn in whose placing there was an error. */
  private readonly failures = new Map<Batch, unknown>();

  private constructor(private readonly opts: SchedulerOptions) {}

  /** Creates a scheduler for which nothing waits. */
  static create(opts: SchedulerOptions): Scheduler {
    return new Scheduler(opts);
  }

  /** Times the middle that work takes at the backend servers that are unlike the others, as last found. */
  get speeds(): ReadonlyMap<SidecarPeer, number> {
    return this.found?.speeds ?? new Map();
  }

  /** Tasks that are ready and wait for room. */
  get queued(): number {
    return [...this.waiting].reduce((sum, { ready }) => sum + ready.length, 0);
  }

  /** Batches with tasks that wait for room, in no order. */
  get backlog(): readonly Batch[] {
    return [...this.waiting].filter(({ ready }) => ready.length > 0);
  }

  /** The batch has tasks that are ready, now or later. */
  add(batch: Batch): void {
    this.waiting.add(batch);
    this.wake();
  }

  /** The batch has its answer: nothing of it is started any more. */
  remove(batch: Batch): void {
    this.waiting.delete(batch);
    this.wake();
  }

  /** Something has changed: room is given out after this turn's messages were read. */
  wake(): void {
    if (this.isDue) return;
    this.isDue = true;
    queueMicrotask(() => {
      this.isDue = false;
      this.assign();
    });
  }

  private assign(): void {
    const { timer, zone, remoteFactor, peers: allPeers } = this.opts;
    // Most of what happens changes nothing for this: all is placed, and no sidecar was told otherwise.
    const { backlog } = this;
    if (!this.hasAsked && backlog.length === 0) return;
    const now = timer.now();
    const peers = [...allPeers()];
    const place = { ...this.look(peers, now), peers, zone, remoteFactor, now };
    const heads = new Map<string, BacklogHead>();
    let line = this.line(backlog, now);
    while (line.length > 0) {
      const first = line.reduce(firstOf);
      const { service } = first.batch.submission.queue;
      const left = this.attempt(first.batch, () => this.assignBatch(first.batch, place));
      if (left) heads.set(service, { urgency: first.urgency, needs: left.step.needs });
      // Where room of the service is short, nobody behind the first in line goes before it.
      line = line.filter(
        (waiting) => waiting !== first && !heads.has(waiting.batch.submission.queue.service),
      );
    }
    const asked = this.search.select(peers, heads, now);
    this.hasAsked = asked.size > 0;
    peers.forEach((peer) => peer.flush(asked.has(peer) ? heads.get(peer.service) : undefined));
    this.giveUpFailures();
    if (this.backlog.length > 0) this.sweepLater();
  }

  private attempt<T>(batch: Batch, action: () => T): T | undefined {
    try {
      return action();
    } catch (error) {
      this.failures.set(batch, error);
      return undefined;
    }
  }

  /** After the orders of the turn are sent, since what was ordered of them is then stopped. */
  private giveUpFailures(): void {
    const failures = [...this.failures];
    this.failures.clear();
    failures.forEach(([batch, error]) => this.opts.failed(batch, error));
  }

  /** Looks whether what gets no room waits in vain: not each time, since a long line takes long. */
  private sweepLater(): void {
    this.sweep ??= this.opts.timer.after(SWEEP_MS, () => {
      this.sweep = undefined;
      this.refuseWaitingInVain(this.opts.timer.now());
      this.wake();
    });
  }

  /** What sets backend servers apart, found anew after a moment or for other sidecars. */
  private look(peers: readonly SidecarPeer[], now: number): Found {
    const { found } = this;
    if (found && now - found.at < FOUND_MS && found.among === peers.length) return found;
    const { fleet, policy } = this.opts;
    const speeds = policy.speeds(fleet, peers);
    this.found = {
      speeds,
      shunned: policy.findOutliers(peers, speeds),
      at: now,
      among: peers.length,
    };
    return this.found;
  }

  /** The backlog, with how urgently each batch waits. */
  private line(backlog: readonly Batch[], now: number): readonly Waiting[] {
    const { urgency } = this.opts.policy;
    return backlog.flatMap((batch) => {
      const found = this.attempt(batch, () => urgency(batch, now));
      return found ? [{ batch, urgency: found }] : [];
    });
  }

  /** What got no room now and can no longer be of use is not kept waiting. */
  private refuseWaitingInVain(now: number): void {
    this.backlog
      .filter((batch) => batch.willExpireUnstarted(now))
      .forEach((batch) => this.opts.waitedInVain(batch));
  }

  /** Starts what can be started of a batch; returns the first task for which room is short. */
  private assignBatch(batch: Batch, place: Place): BatchTask | undefined {
    const starts: DispatchedStart[] = [];
    const left = [...batch.ready].find((task) => {
      const peer =
        this.joined(batch, task, place, starts) ??
        this.opts.policy.choose({ batch, task, ...place });
      if (peer) starts.push(this.order(batch, task, peer, place));
      const { step, suspicion } = task;
      const isPicky = step.label !== '' || step.mostTogether > 0 || suspicion > 0;
      return !peer && !isPicky;
    });
    if (starts.length > 0) this.opts.ordered(batch, starts);
    return left;
  }

  /** Where the last task went, if this one goes along. */
  private joined(
    batch: Batch,
    task: BatchTask,
    place: Place,
    starts: readonly DispatchedStart[],
  ): SidecarPeer | undefined {
    const last = starts.at(-1);
    if (!last || last.task.step !== task.step) return undefined;
    const { peer } = last;
    const ordered = starts.filter((start) => start.peer === peer).length;
    if (!this.opts.policy.canShareMessage(peer, task, ordered)) return undefined;
    return this.opts.policy.choose({ batch, task, ...place, peers: [peer] });
  }

  private order(batch: Batch, task: BatchTask, peer: SidecarPeer, place: Place): DispatchedStart {
    const { shunned, now } = place;
    const freeMilli = peer.free.cpuMilli;
    if (shunned.has(peer)) peer.probedAt = now;
    const there = durationRatiosOf(task, peer, place);
    peer.dispatch(batch, task, there);
    batch.markStarting(task, now + task.step.estimateMs * there.machine * there.distance);
    return { task, peer, freeMilli, durationRatios: there };
  }
}

/** A batch in line. */
interface Waiting {
  readonly batch: Batch;
  readonly urgency: Urgency;
}

function firstOf(a: Waiting, b: Waiting): Waiting {
  return compareUrgencies(b.urgency, a.urgency) < 0 ? b : a;
}

/** Backend servers that were found to be unlike the others, or to be shunned, among how many and when. */
interface Found {
  readonly speeds: ReadonlyMap<SidecarPeer, number>;
  readonly shunned: ReadonlySet<SidecarPeer>;
  readonly at: number;
  readonly among: number;
}

/** How long such a finding stands, ms: it changes over some hundred. */
const FOUND_MS = 10;

/** A caller whose batch waits in vain hears of it within this time, ms. */
const SWEEP_MS = 50;

/** Where tasks may go, the same for all that are assigned in one turn. */
type Place = Omit<Parameters<BatchPolicy['choose']>[0], 'batch' | 'task'> & {
  readonly peers: readonly SidecarPeer[];
};
