/** A limited number of bytes, taken and given back. */
export default class ByteBudget {
  private taken = 0;

  private constructor(private readonly limit: number) {}

  /** Creates a budget of which nothing is taken. */
  static of(limit: number): ByteBudget {
    return new ByteBudget(limit);
  }

  /** Takes some bytes if there are as many left, and says whether it did. */
  take(bytes: number): boolean {
    if (this.taken + bytes > this.limit) return false;
    this.taken += bytes;
    return true;
  }

  /** Gives taken bytes back. */
  give(bytes: number): void {
    this.taken -= bytes;
  }
}
