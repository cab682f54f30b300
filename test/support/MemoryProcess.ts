import type SimulatedUplink from './SimulatedUplink';
import type SimulatedCpu from './SimulatedCpu';

/** One run of a process on the memory network. */
export default class MemoryProcess {
  isAlive = true;

  isPaused = false;

  /** What its messages take time of, and how much processor time each, ms; without one they take none. */
  messageCost: { readonly processor: SimulatedCpu; readonly messageMs: number } | undefined;

  /** The links of its machine to the network, each way; without them only delays count. */
  links: { readonly out: SimulatedUplink; readonly into: SimulatedUplink } | undefined;

  private constructor(readonly instance: string) {}

  /** A process that runs. */
  static start(instance: string): MemoryProcess {
    return new MemoryProcess(instance);
  }

  /** Handles something that has arrived. */
  receive(deliver: () => void): void {
    if (this.messageCost) this.messageCost.processor.run(this.messageCost.messageMs, deliver);
    else deliver();
  }

  /** Something is sent. */
  chargeSend(): void {
    this.messageCost?.processor.charge(this.messageCost.messageMs);
  }
}
