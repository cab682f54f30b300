/** What a hold decides by. */
interface Passing {
  /** The message's case, or the name of a call: "forward", "claim", "handover", "inspect". */
  readonly kind: string;
  readonly from: string;
  readonly to: string;
}

/** Messages kept back on the memory network; others pass them. */
export default class HeldMessages {
  private held: (() => void)[] = [];

  private open = false;

  private constructor(private readonly matches: (passing: Passing) => boolean) {}

  /** Holds the messages for which the predicate is true. */
  static of(matches: (passing: Passing) => boolean): HeldMessages {
    return new HeldMessages(matches);
  }

  /** How many are held now. */
  get size(): number {
    return this.held.length;
  }

  /** Keeps the message when it is one of those to hold. */
  tryHold(passing: Passing, release: () => void): boolean {
    if (this.open || !this.matches(passing)) return false;
    this.held.push(release);
    return true;
  }

  /** Lets the held messages go, in their order or reversed, and holds no more. */
  release(order: 'forward' | 'reversed' = 'forward'): void {
    this.open = true;
    this.releaseHeld(order);
  }

  /** Lets the held messages go but keeps on holding later ones. */
  releaseHeld(order: 'forward' | 'reversed' = 'forward'): void {
    const going = order === 'forward' ? this.held : this.held.reverse();
    this.held = [];
    going.forEach((release) => release());
  }

  /** Loses the held messages and holds no more. */
  discard(): void {
    this.open = true;
    this.held = [];
  }
}
