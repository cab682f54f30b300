import type TimerService from '../core/TimerService';
import type Batch from './Batch';
import type BatchTask from './BatchTask';
import choosePeer from './choosePeer';
import compareBatches from './compareBatches';
import findShunned from './findShunned';
import type SidecarPeer from './SidecarPeer';

interface SchedulerOptions {
  readonly timer: TimerService;
  readonly zone: string;
  readonly peers: () => Iterable<SidecarPeer>;
  /** Told of a batch that was never started and cannot be answered in time any more. */
  readonly hopeless: (batch: Batch) => void;
  /** Told of each start that is ordered. */
  readonly ordered: (batch: Batch, task: BatchTask, peer: SidecarPeer) => void;
}

/** Gives free room to the tasks that wait at this entry. */
export default class Scheduler {
  private readonly waiting = new Set<Batch>();

  private isDue = false;

  private constructor(private readonly opts: SchedulerOptions) {}

  /** Creates a scheduler for which nothing waits. */
  static create(opts: SchedulerOptions): Scheduler {
    return new Scheduler(opts);
  }

  /** Tasks that are ready and wait for room. */
  get queued(): number {
    return [...this.waiting].reduce((sum, { ready }) => sum + ready.length, 0);
  }

  /** Batches with tasks that wait for room, in the order in which they get it. */
  get line(): readonly Batch[] {
    const now = this.opts.timer.now();
    const waiting = [...this.waiting].filter(({ ready }) => ready.length > 0);
    return waiting.sort((a, b) => compareBatches(a, b, now));
  }

  /** The batch has tasks that are ready, now or later. */
  add(batch: Batch): void {
    this.waiting.add(batch);
    this.wake();
  }

  /** The batch has its answer: nothing of it is started any more. */
  remove(batch: Batch): void {
    this.waiting.delete(batch);
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
    const { line } = this;
    if (line.length === 0) return;
    const peers = [...this.opts.peers()];
    const shunned = findShunned(peers);
    for (const batch of line) {
      if (!this.assignBatch(batch, peers, shunned)) break;
    }
    peers.forEach((peer) => peer.flush());
    this.dropHopeless();
  }

  /** What got no room now and can no longer be of use is not kept waiting. */
  private dropHopeless(): void {
    const now = this.opts.timer.now();
    const hopeless = [...this.waiting].filter(
      (batch) => batch.startsSent === 0 && batch.ready.length > 0 && batch.isHopeless(now),
    );
    hopeless.forEach((batch) => this.opts.hopeless(batch));
  }

  /** Starts what can be started of a batch; false when room is short, so that nobody behind it goes first. */
  private assignBatch(
    batch: Batch,
    peers: readonly SidecarPeer[],
    shunned: ReadonlySet<SidecarPeer>,
  ): boolean {
    for (const task of [...batch.ready]) {
      const peer = choosePeer({ batch, task, peers, shunned, ...this.place });
      const isPicky = task.step.label !== '' || task.step.mostTogether > 0;
      if (!peer && !isPicky) return false;
      if (peer) this.order(batch, task, peer, shunned.has(peer));
    }
    return true;
  }

  private order(batch: Batch, task: BatchTask, peer: SidecarPeer, isTrial: boolean): void {
    if (isTrial) peer.triedAt = this.opts.timer.now();
    peer.order(batch, task);
    batch.starting(task);
    this.opts.ordered(batch, task, peer);
  }

  private get place(): { readonly zone: string; readonly now: number } {
    return { zone: this.opts.zone, now: this.opts.timer.now() };
  }
}
