import type TimerService from '../../src/core/TimerService';
import type HeldMessages from './HeldMessages';
import type Pipe from './Pipe';

/** The active faults of the in-memory network, its pipes and its message counts. */
export default class NetworkFaults {
  readonly pipes = new Set<Pipe>();

  readonly holds = new Set<HeldMessages>();

  readonly counts = new Map<string, number>();

  private readonly partitions = new Set<string>();

  private readonly blackholes = new Set<string>();

  private readonly delays = new Map<string, number>();

  private constructor(readonly timer: TimerService) {}

  /** Creates a state without faults. */
  static none(timer: TimerService): NetworkFaults {
    return new NetworkFaults(timer);
  }

  count(kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
  }

  /** Holds the message back if a hold matches it; returns whether one does. */
  holdBack(pipe: Pipe, kind: string, release: () => void): boolean {
    const from = pipe.from.instance;
    const to = pipe.to.instance;
    return [...this.holds].some((held) => held.tryHold({ kind, from, to }, release));
  }

  setPartitioned(one: string, other: string, isPartitioned: boolean): void {
    [directionKey(one, other), directionKey(other, one)].forEach((direction) =>
      setOrDelete(this.partitions, direction, isPartitioned),
    );
  }

  setBlackholed(from: string, to: string, isBlackholed: boolean): void {
    setOrDelete(this.blackholes, directionKey(from, to), isBlackholed);
  }

  setDelay(from: string, to: string, delayMs: number): void {
    this.delays.set(directionKey(from, to), delayMs);
  }

  isPartitioned(from: string, to: string): boolean {
    return this.partitions.has(directionKey(from, to));
  }

  isBlackholed(from: string, to: string): boolean {
    return this.blackholes.has(directionKey(from, to));
  }

  delayBetween(from: string, to: string): number {
    return this.delays.get(directionKey(from, to)) ?? 0;
  }
}

function directionKey(from: string, to: string): string {
  return `${from}>${to}`;
}

function setOrDelete(directions: Set<string>, direction: string, isPresent: boolean): void {
  if (isPresent) directions.add(direction);
  else directions.delete(direction);
}
