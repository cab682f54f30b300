import type HeldCredit from './HeldCredit';

/**
 * The idle credits that an entry holds for one service. Credits are taken from
 * the sidecar with the most, so that load spreads over the backend servers.
 */
export default class CreditPool {
  private readonly bySidecar = new Map<string, HeldCredit[]>();

  private count = 0;

  private constructor() {}

  /** Creates a pool without credits. */
  static create(): CreditPool {
    return new CreditPool();
  }

  /** Number of idle credits. */
  get size(): number {
    return this.count;
  }

  /** Adds a credit, replacing an older one of the same slot. */
  add(held: HeldCredit): void {
    const credits = this.bySidecar.get(held.sidecar) ?? [];
    const existing = credits.findIndex(({ credit }) => credit.slot === held.credit.slot);
    if (existing >= 0) {
      if (credits[existing]!.credit.generation < held.credit.generation) credits[existing] = held;
      return;
    }
    credits.push(held);
    this.bySidecar.set(held.sidecar, credits);
    this.count += 1;
  }

  /** Takes a credit of the sidecar with the most, except sidecars for which `avoid` returns true. */
  take(avoid: (sidecar: string) => boolean): HeldCredit | undefined {
    let best: string | undefined;
    let bestCount = 0;
    this.bySidecar.forEach((credits, sidecar) => {
      if (credits.length > bestCount && !avoid(sidecar)) {
        best = sidecar;
        bestCount = credits.length;
      }
    });
    return best === undefined ? undefined : this.takeFrom(best);
  }

  /** Number of idle credits of sidecars for which `avoid` returns false. */
  usableCount(avoid: (sidecar: string) => boolean): number {
    let usable = 0;
    this.bySidecar.forEach((credits, sidecar) => {
      if (!avoid(sidecar)) usable += credits.length;
    });
    return usable;
  }

  /** Takes half of the usable credits, rounded up, but at most `wanted`. */
  takeHalf(wanted: number, avoid: (sidecar: string) => boolean): HeldCredit[] {
    const number = Math.min(wanted, Math.ceil(this.usableCount(avoid) / 2));
    const taken: HeldCredit[] = [];
    while (taken.length < number) {
      const credit = this.take(avoid);
      if (!credit) break;
      taken.push(credit);
    }
    return taken;
  }

  /** Removes and returns the credits of a sidecar: all, or those of the given slots. */
  remove(sidecar: string, slots?: readonly number[]): HeldCredit[] {
    const credits = this.bySidecar.get(sidecar) ?? [];
    const isRemoved = ({ credit }: HeldCredit) => !slots || slots.includes(credit.slot);
    const kept = credits.filter((held) => !isRemoved(held));
    this.count -= credits.length - kept.length;
    if (kept.length === 0) this.bySidecar.delete(sidecar);
    else this.bySidecar.set(sidecar, kept);
    return credits.filter(isRemoved);
  }

  private takeFrom(sidecar: string): HeldCredit | undefined {
    const credits = this.bySidecar.get(sidecar)!;
    const held = credits.pop();
    if (credits.length === 0) this.bySidecar.delete(sidecar);
    if (held) this.count -= 1;
    return held;
  }
}
