import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';

/**
 * The addresses of entries that this process tries to reach: those of its settings for ever, since
 * they may lead to others, and those it was told of as long as somebody repeats them.
 */
export default class KnownAddresses {
  private readonly toldAt = new Map<string, number>();

  private readonly sweep: Subscription;

  private constructor(
    private readonly timer: TimerService,
    private readonly seeds: readonly string[],
    private readonly changed: (addresses: ReadonlySet<string>) => void,
  ) {
    this.sweep = timer.every(SWEEP_MS, () => this.forgetOld());
  }

  /** Starts with the addresses of the settings; `changed` is told of each change. */
  static create(
    timer: TimerService,
    seeds: readonly string[],
    changed: (addresses: ReadonlySet<string>) => void,
  ): KnownAddresses {
    return new KnownAddresses(timer, seeds, changed);
  }

  /** All addresses to reach. */
  get all(): ReadonlySet<string> {
    return new Set([...this.seeds, ...this.toldAt.keys()]);
  }

  /** Tells `changed` of the addresses as they are. */
  notify(): void {
    this.changed(this.all);
  }

  /** Adds addresses, or keeps those already known for longer. */
  add(addresses: readonly string[]): void {
    const known = this.all;
    addresses.forEach((address) => this.toldAt.set(address, this.timer.now()));
    if (addresses.some((address) => !known.has(address))) this.notify();
  }

  /** Forgets nothing any more. */
  stop(): void {
    this.sweep.cancel();
  }

  private forgetOld(): void {
    const before = this.timer.now() - FORGET_MS;
    const old = [...this.toldAt].filter(([, at]) => at < before);
    old.forEach(([address]) => this.toldAt.delete(address));
    if (old.length > 0) this.notify();
  }
}

/** How often old addresses are looked for, ms. */
const SWEEP_MS = 5_000;

/** An address that nobody has repeated for this long is given up, ms: three rounds of telling are missed. */
const FORGET_MS = 30_000;
