import type TimerService from '../../src/core/TimerService';

/**
 * One direction of a machine's network link: messages leave sequentially, at a limited bandwidth.
 */
export default class SimulatedUplink {
  private freeAt = 0;

  private constructor(
    private readonly timer: TimerService,
    private readonly bytesPerMs: number,
  ) {}

  /** Creates an idle link with this bandwidth. */
  static of(timer: TimerService, bytesPerMs: number): SimulatedUplink {
    return new SimulatedUplink(timer, bytesPerMs);
  }

  /** Sends this many bytes; returns the time from now until they are through, ms. */
  transmit(bytes: number): number {
    const now = this.timer.now();
    this.freeAt = Math.max(now, this.freeAt) + (bytes + OVERHEAD_BYTES) / this.bytesPerMs;
    return this.freeAt - now;
  }
}

/** Overhead of TCP, IP, HTTP/2 and the envelope around a message. */
const OVERHEAD_BYTES = 80;
