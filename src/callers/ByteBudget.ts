/** A byte budget that several users share: bytes are reserved and released. */
export default class ByteBudget {
  private reservedBytes = 0;

  private constructor(private readonly limitBytes: number) {}

  /** Creates a budget with nothing reserved. */
  static create(limitBytes: number): ByteBudget {
    return new ByteBudget(limitBytes);
  }

  /** Reserves some bytes if that many are left; returns whether it did. */
  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
