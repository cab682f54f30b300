import type TimerService from '../core/TimerService';
import type Batch from './Batch';
import type BatchTask from './BatchTask';
import choosePeer from './choosePeer';
import compareBatches from './compareBatches';
import type SidecarPeer from './SidecarPeer';

interface SchedulerOptions {
  readonly timer: TimerService;
  readonly zone: string;
  readonly peers: () => Iterable<SidecarPeer>;
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
    return [...this.waiting].filter(({ ready }) => ready.length > 0).sort(compareBatches);
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
    for (const batch of line) {
      if (!this.assignBatch(batch)) break;
    }
    [...this.opts.peers()].forEach((peer) => peer.flush());
  }

  /** Starts what can be started of a batch; false when room is short, so that nobody behind it goes first. */
  private assignBatch(batch: Batch): boolean {
    for (const task of [...batch.ready]) {
      const peer = choosePeer(batch, task, this.opts.peers(), this.opts.zone);
      const isPicky = task.step.label !== '' || task.step.mostTogether > 0;
      if (!peer && !isPicky) return false;
      if (peer) {
        peer.order(batch, task);
        batch.starting(task);
        this.opts.ordered(batch, task, peer);
      }
    }
    return true;
  }
}
