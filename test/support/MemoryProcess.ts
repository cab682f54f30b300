import type SimulatedUplink from './SimulatedUplink';
import type SimulatedCpu from './SimulatedCpu';

/** One process on the in-memory network; a restart of the instance is another one. */
export default class MemoryProcess {
  isAlive = true;

  isPaused = false;

  /** The CPU that its messages use and the CPU time of each, ms; undefined if messages cost none. */
  messageCost: { readonly cpu: SimulatedCpu; readonly messageMs: number } | undefined;

  /** The uplinks of its machine, one per direction; without them only network delays apply. */
  links: { readonly out: SimulatedUplink; readonly into: SimulatedUplink } | undefined;

  private constructor(readonly instance: string) {}

  /** Starts a process. */
  static start(instance: string): MemoryProcess {
    return new MemoryProcess(instance);
  }

  /** Handles an arrived message, after the CPU time that it costs. */
  receive(deliver: () => void): void {
    if (this.messageCost) this.messageCost.cpu.run(this.messageCost.messageMs, deliver);
    else deliver();
  }

  /** Charges the CPU time of a sent message. */
  chargeSend(): void {
    this.messageCost?.cpu.charge(this.messageCost.messageMs);
  }
}
