import type MemoryProcess from './MemoryProcess';
import type NetworkFaults from './NetworkFaults';

interface Item {
  readonly arriveAt: number;
  /** Written while the sender was paused, so it leaves when the sender resumes. */
  readonly whilePaused: boolean;
  readonly deliver: () => void;
}

/** Carries things from one process to another in order, subject to the network's faults. */
export default class Pipe {
  private queue: Item[] = [];

  private ended = false;

  private constructor(
    readonly from: MemoryProcess,
    readonly to: MemoryProcess,
    private readonly faults: NetworkFaults,
    private readonly onBreak?: () => void,
  ) {}

  /** Opens a pipe that calls `onBreak` when a fault breaks it. */
  static open(
    from: MemoryProcess,
    to: MemoryProcess,
    faults: NetworkFaults,
    onBreak?: () => void,
  ): Pipe {
    const pipe = new Pipe(from, to, faults, onBreak);
    faults.pipes.add(pipe);
    return pipe;
  }

  /** Sends something that counts as a message of the given kind. */
  send(kind: string, deliver: () => void, bytes = 0): void {
    if (this.ended || !this.from.isAlive) return;
    this.faults.count(kind);
    this.from.chargeSend();
    if (this.faults.holdBack(this, kind, () => this.enqueue(deliver, bytes))) return;
    this.enqueue(deliver, bytes);
  }

  /** Ends the pipe after what was sent. */
  end(deliver: () => void = () => undefined): void {
    if (this.ended) return;
    this.enqueue(deliver);
    this.ended = true;
  }

  /** Loses what is under way and tells the receiver that the connection is gone. */
  break(): void {
    this.discard();
    if (!this.to.isPaused) {
      this.onBreak?.();
      return;
    }
    this.faults.pipes.add(this);
    this.queue = [{ arriveAt: 0, whilePaused: false, deliver: () => this.onBreak?.() }];
  }

  /** Ends the pipe because its sender died: what was written before still arrives. */
  closeAfterSenderDeath(): void {
    this.queue = this.queue.filter((item) => !item.whilePaused);
    this.end(() => this.onBreak?.());
  }

  /** Loses everything without a word. */
  discard(): void {
    this.queue = [];
    this.ended = true;
    this.faults.pipes.delete(this);
  }

  /** Delivers what is due. */
  deliverDue(): void {
    for (let item = this.ready(); item; item = this.ready()) {
      this.queue.shift();
      this.to.receive(item.deliver);
    }
    if (this.ended && this.queue.length === 0) this.faults.pipes.delete(this);
  }

  private enqueue(deliver: () => void, bytes = 0): void {
    if (this.ended || !this.to.isAlive) return;
    if (this.faults.isBlackholed(this.from.instance, this.to.instance)) return;
    this.push(deliver, bytes);
  }

  private push(deliver: () => void, bytes: number): void {
    const wayMs = this.faults.delayBetween(this.from.instance, this.to.instance);
    const outMs = this.from.links?.out.transmit(bytes) ?? 0;
    const intoMs = this.to.links?.into.transmit(bytes) ?? 0;
    const delayMs = wayMs + outMs + intoMs;
    const arriveAt = this.faults.timer.now() + delayMs;
    this.queue.push({ arriveAt, whilePaused: this.from.isPaused, deliver });
    if (delayMs > 0) {
      this.faults.timer.after(delayMs, () => this.deliverDue());
      return;
    }
    queueMicrotask(() => this.deliverDue());
  }

  private ready(): Item | undefined {
    const [item] = this.queue;
    if (!item || !this.to.isAlive || this.to.isPaused) return undefined;
    if (item.whilePaused && this.from.isPaused) return undefined;
    return item.arriveAt <= this.faults.timer.now() ? item : undefined;
  }
}
