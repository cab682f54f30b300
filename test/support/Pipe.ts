import type MemoryProcess from './MemoryProcess';
import type NetworkFaults from './NetworkFaults';

interface QueuedDelivery {
  readonly arriveAt: number;
  /** Sent while the sender was paused, so it is delivered only after the sender resumes. */
  readonly sentWhilePaused: boolean;
  readonly deliver: () => void;
}

/** A one-way connection that delivers messages in order, subject to the network's faults. */
export default class Pipe {
  private queue: QueuedDelivery[] = [];

  private isEnded = false;

  private isSilent = false;

  private constructor(
    readonly from: MemoryProcess,
    readonly to: MemoryProcess,
    private readonly faults: NetworkFaults,
    private readonly onBreak?: () => void,
  ) {}

  /** Opens a pipe; `onBreak` is called when a fault breaks it. */
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

  /** Sends a message of the given kind; `deliver` is called when it arrives. */
  send(kind: string, deliver: () => void, bytes = 0): void {
    if (this.isEnded || !this.from.isAlive) return;
    this.faults.count(kind);
    this.from.chargeSend();
    if (this.faults.holdBack(this, kind, () => this.enqueue(deliver, bytes))) return;
    this.enqueue(deliver, bytes);
  }

  /** Ends the pipe after the messages already sent. */
  end(deliver: () => void = () => undefined): void {
    if (this.isEnded) return;
    this.enqueue(deliver);
    this.isEnded = true;
  }

  /** Drops everything from now on, without a sign to either side. */
  silence(): void {
    this.isSilent = true;
  }

  /** Discards messages in transit and notifies the receiver that the connection is broken. */
  break(): void {
    this.discard();
    if (!this.to.isPaused) {
      this.onBreak?.();
      return;
    }
    this.faults.pipes.add(this);
    this.queue = [{ arriveAt: 0, sentWhilePaused: false, deliver: () => this.onBreak?.() }];
  }

  /** Ends the pipe after its sender was killed: messages sent before still arrive. */
  closeAfterSenderDeath(): void {
    this.queue = this.queue.filter((item) => !item.sentWhilePaused);
    this.end(() => this.onBreak?.());
  }

  /** Ends the pipe silently and discards everything in transit. */
  discard(): void {
    this.queue = [];
    this.isEnded = true;
    this.faults.pipes.delete(this);
  }

  /** Delivers the messages that are due. */
  deliverDue(): void {
    for (let item = this.nextDue(); item; item = this.nextDue()) {
      this.queue.shift();
      this.to.receive(item.deliver);
    }
    if (this.isEnded && this.queue.length === 0) this.faults.pipes.delete(this);
  }

  private enqueue(deliver: () => void, bytes = 0): void {
    if (this.isEnded || this.isSilent || !this.to.isAlive) return;
    if (this.faults.isBlackholed(this.from.instance, this.to.instance)) return;
    this.push(deliver, bytes);
  }

  private push(deliver: () => void, bytes: number): void {
    const networkMs = this.faults.delayBetween(this.from.instance, this.to.instance);
    const outMs = this.from.links?.out.transmit(bytes) ?? 0;
    const intoMs = this.to.links?.into.transmit(bytes) ?? 0;
    const delayMs = networkMs + outMs + intoMs;
    const arriveAt = this.faults.timer.now() + delayMs;
    this.queue.push({ arriveAt, sentWhilePaused: this.from.isPaused, deliver });
    if (delayMs > 0) {
      this.faults.timer.after(delayMs, () => this.deliverDue());
      return;
    }
    queueMicrotask(() => this.deliverDue());
  }

  private nextDue(): QueuedDelivery | undefined {
    const [item] = this.queue;
    if (!item || !this.to.isAlive || this.to.isPaused) return undefined;
    if (item.sentWhilePaused && this.from.isPaused) return undefined;
    return item.arriveAt <= this.faults.timer.now() ? item : undefined;
  }
}
