import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';

/**
 * The addresses of entries that this process dials: the seed addresses of its settings permanently, since
 * further entries can be discovered through them, and those received from peers as long as some peer repeats them.
 */
export default class KnownAddresses {
  private readonly lastSeenAt = new Map<string, number>();

  private readonly expirySweep: Subscription;

  private constructor(
    private readonly timer: TimerService,
    private readonly seeds: readonly string[],
    private readonly onChange: (addresses: ReadonlySet<string>) => void,
  ) {
    this.expirySweep = timer.every(SWEEP_INTERVAL_MS, () => this.removeExpired());
  }

  /** Starts with the seed addresses; `onChange` is called with all addresses after each change. */
  static create(
    timer: TimerService,
    seeds: readonly string[],
    onChange: (addresses: ReadonlySet<string>) => void,
  ): KnownAddresses {
    return new KnownAddresses(timer, seeds, onChange);
  }

  /** All addresses to dial. */
  get all(): ReadonlySet<string> {
    return new Set([...this.seeds, ...this.lastSeenAt.keys()]);
  }

  /** Calls `onChange` with the current addresses. */
  notify(): void {
    this.onChange(this.all);
  }

  /** Adds addresses, and extends the life of those already known. */
  add(addresses: readonly string[]): void {
    const known = this.all;
    addresses.forEach((address) => this.lastSeenAt.set(address, this.timer.now()));
    if (addresses.some((address) => !known.has(address))) this.notify();
  }

  /** Stops expiring addresses. */
  stop(): void {
    this.expirySweep.cancel();
  }

  private removeExpired(): void {
    const oldest = this.timer.now() - ADDRESS_TTL_MS;
    const expired = [...this.lastSeenAt].filter(([, at]) => at < oldest);
    expired.forEach(([address]) => this.lastSeenAt.delete(address));
    if (expired.length > 0) this.notify();
  }
}

/** Interval of the check for expired addresses, ms. */
const SWEEP_INTERVAL_MS = 5_000;

/** An address that no peer has repeated for this long is removed, ms: three rounds of announcements were missed. */
const ADDRESS_TTL_MS = 30_000;
