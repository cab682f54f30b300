import type TimerService from '../../src/core/TimerService';
import type HeldMessages from './HeldMessages';
import type Pipe from './Pipe';

/** The faults in force on the memory network and what they apply to. */
export default class NetworkFaults {
  readonly pipes = new Set<Pipe>();

  readonly holds = new Set<HeldMessages>();

  readonly counts = new Map<string, number>();

  private readonly cuts = new Set<string>();

  private readonly losses = new Set<string>();

  private readonly delays = new Map<string, number>();

  private constructor(readonly timer: TimerService) {}

  /** No faults. */
  static none(timer: TimerService): NetworkFaults {
    return new NetworkFaults(timer);
  }

  count(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  /** Keeps the message back when a hold applies to it. */
  holdBack(pipe: Pipe, kind: string, release: () => void): boolean {
    const from = pipe.from.instance;
    const to = pipe.to.instance;
    return [...this.holds].some((held) => held.tryHold({ kind, from, to }, release));
  }

  setPartitioned(one: string, other: string, cut: boolean): void {
    [wayOf(one, other), wayOf(other, one)].forEach((way) => setOrDelete(this.cuts, way, cut));
  }

  setBlackholed(from: string, to: string, lost: boolean): void {
    setOrDelete(this.losses, wayOf(from, to), lost);
  }

  setDelay(from: string, to: string, delayMs: number): void {
    this.delays.set(wayOf(from, to), delayMs);
  }

  isPartitioned(from: string, to: string): boolean {
    return this.cuts.has(wayOf(from, to));
  }

  isBlackholed(from: string, to: string): boolean {
    return this.losses.has(wayOf(from, to));
  }

  delayBetween(from: string, to: string): number {
    return this.delays.get(wayOf(from, to)) ?? 0;
  }
}

function wayOf(from: string, to: string): string {
  return `${from}>${to}`;
}

function setOrDelete(ways: Set<string>, way: string, present: boolean): void {
  if (present) ways.add(way);
  else ways.delete(way);
}
