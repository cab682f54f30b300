import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type Batch from './Batch';
import type BatchPolicy from './BatchPolicy';
import type BatchTask from './BatchTask';
import compareUrgencies from './compareUrgencies';
import type OrderedStart from './OrderedStart';
import type SidecarPeer from './SidecarPeer';
import type Urgency from './Urgency';
import type WaitingHead from './WaitingHead';

interface SchedulerOptions {
  readonly timer: TimerService;
  readonly zone: string;
  readonly policy: BatchPolicy;
  readonly peers: () => Iterable<SidecarPeer>;
  /** Told of a batch of which nothing has run and that cannot be answered in time any more. */
  readonly hopeless: (batch: Batch) => void;
  /** Told of the starts of a batch that are ordered in one turn. */
  readonly ordered: (batch: Batch, starts: readonly OrderedStart[]) => void;
}

/**
 * Gives free room to the tasks that wait at this entry, and tells the sidecars how urgently it waits
 * for more, so that they can offer what room there is to the entry that needs it most.
 */
export default class Scheduler {
  private readonly waiting = new Set<Batch>();

  private isDue = false;

  private sweep: Subscription | undefined;

  private constructor(private readonly opts: SchedulerOptions) {}

  /** Creates a scheduler for which nothing waits. */
  static create(opts: SchedulerOptions): Scheduler {
    return new Scheduler(opts);
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
    const { timer, policy, zone, peers: allPeers } = this.opts;
    const now = timer.now();
    const peers = [...allPeers()];
    const place = { peers, shunned: policy.shun(peers), zone, now };
    const heads = new Map<string, WaitingHead>();
    this.line(now).forEach(({ batch, urgency }) => {
      const { service } = batch.submission.queue;
      // Room of the service is short, and nobody behind the first in line goes before it.
      if (heads.has(service)) return;
      const left = this.assignBatch(batch, place);
      if (left) heads.set(service, { urgency, needs: left.step.needs });
    });
    peers.forEach((peer) => peer.flush(heads.get(peer.service)));
    this.dropHopeless(now);
    this.sweepLater();
  }

  /** Looks again for what has become hopeless, also when nothing else wakes this scheduler. */
  private sweepLater(): void {
    if (this.sweep || this.backlog.length === 0) return;
    this.sweep = this.opts.timer.after(SWEEP_MS, () => {
      this.sweep = undefined;
      this.wake();
    });
  }

  /** The backlog in the order in which it gets room. */
  private line(now: number): readonly { readonly batch: Batch; readonly urgency: Urgency }[] {
    const { policy } = this.opts;
    const line = this.backlog.map((batch) => ({ batch, urgency: policy.urgency(batch, now) }));
    return line.sort((a, b) => compareUrgencies(a.urgency, b.urgency));
  }

  /** What got no room now and can no longer be of use is not kept waiting. */
  private dropHopeless(now: number): void {
    this.backlog
      .filter((batch) => batch.hasNotRun && batch.isHopeless(now))
      .forEach((batch) => this.opts.hopeless(batch));
  }

  /** Starts what can be started of a batch; returns the first task for which room is short. */
  private assignBatch(batch: Batch, place: Place): BatchTask | undefined {
    const starts: OrderedStart[] = [];
    const left = [...batch.ready].find((task) => {
      const peer = this.opts.policy.choose({ batch, task, ...place });
      if (peer) starts.push(this.order(batch, task, peer, place));
      const isPicky = task.step.label !== '' || task.step.mostTogether > 0;
      return !peer && !isPicky;
    });
    if (starts.length > 0) this.opts.ordered(batch, starts);
    return left;
  }

  private order(
    batch: Batch,
    task: BatchTask,
    peer: SidecarPeer,
    { shunned, now }: Place,
  ): OrderedStart {
    const freeMilli = peer.free.cpuMilli;
    if (shunned.has(peer)) peer.triedAt = now;
    peer.order(batch, task);
    batch.starting(task);
    return { task, peer, freeMilli };
  }
}

/** A caller whose batch has become hopeless hears of it within this time, ms. */
const SWEEP_MS = 50;

/** Where tasks may go, the same for all that are assigned in one turn. */
type Place = Omit<Parameters<BatchPolicy['choose']>[0], 'batch' | 'task'> & {
  readonly peers: readonly SidecarPeer[];
};
