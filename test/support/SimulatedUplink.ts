import type TimerService from '../../src/core/TimerService';

/** One direction of the link of a machine to the network: what is sent leaves one thing after the other. */
export default class SimulatedUplink {
  private freeAt = 0;

  private constructor(
    private readonly timer: TimerService,
    private readonly bytesPerMs: number,
  ) {}

  /** Creates an idle link of so many bytes a ms. */
  static of(timer: TimerService, bytesPerMs: number): SimulatedUplink {
    return new SimulatedUplink(timer, bytesPerMs);
  }

  /** Takes something of so many bytes; returns how long from now it takes until it is through, ms. */
  transmit(bytes: number): number {
    const now = this.timer.now();
    this.freeAt = Math.max(now, this.freeAt) + (bytes + HEAD_BYTES) / this.bytesPerMs;
    return this.freeAt - now;
  }
}

/** What TCP, IP, HTTP/2 and the envelope put around a message. */
const HEAD_BYTES = 80;
