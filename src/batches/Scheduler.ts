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
    const now = this.opts.timer.now();
    const line = this.line(now);
    if (line.length === 0) return;
    const peers = [...this.opts.peers()];
    const place = { peers, shunned: findShunned(peers), zone: this.opts.zone, now };
    for (const batch of line) {
      if (!this.assignBatch(batch, place)) break;
    }
    peers.forEach((peer) => peer.flush());
    this.dropHopeless(now);
  }

  /** The backlog in the order in which it gets room. */
  private line(now: number): readonly Batch[] {
    return [...this.backlog].sort((a, b) => compareBatches(a, b, now));
  }

  /** What got no room now and can no longer be of use is not kept waiting. */
  private dropHopeless(now: number): void {
    this.backlog
      .filter((batch) => batch.startsSent === 0 && batch.isHopeless(now))
      .forEach((batch) => this.opts.hopeless(batch));
  }

  /** Starts what can be started of a batch; false when room is short, so that nobody behind it goes first. */
  private assignBatch(batch: Batch, place: Place): boolean {
    for (const task of [...batch.ready]) {
      const peer = choosePeer({ batch, task, ...place });
      const isPicky = task.step.label !== '' || task.step.mostTogether > 0;
      if (!peer && !isPicky) return false;
      if (peer) this.order(batch, task, peer, place);
    }
    return true;
  }

  private order(batch: Batch, task: BatchTask, peer: SidecarPeer, { shunned, now }: Place): void {
    if (shunned.has(peer)) peer.triedAt = now;
    peer.order(batch, task);
    batch.starting(task);
    this.opts.ordered(batch, task, peer);
  }
}

/** Where tasks may go, the same for all that are assigned in one turn. */
type Place = Omit<Parameters<typeof choosePeer>[0], 'batch' | 'task'> & {
  readonly peers: readonly SidecarPeer[];
};
