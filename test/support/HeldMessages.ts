/** A message on its way, as passed to the predicate of a hold. */
interface PassingMessage {
  /** The message's case, or the name of a call: "forward", "claim", "handover", "inspect". */
  readonly kind: string;
  readonly from: string;
  readonly to: string;
}

/** Messages held back on the in-memory network, so that others overtake them. */
export default class HeldMessages {
  private held: (() => void)[] = [];

  private isReleased = false;

  private constructor(private readonly matches: (message: PassingMessage) => boolean) {}

  /** Holds the messages for which the predicate is true. */
  static of(matches: (message: PassingMessage) => boolean): HeldMessages {
    return new HeldMessages(matches);
  }

  /** Number of messages held back now. */
  get size(): number {
    return this.held.length;
  }

  /** Holds the message back if it matches; returns whether it did. */
  tryHold(message: PassingMessage, release: () => void): boolean {
    if (this.isReleased || !this.matches(message)) return false;
    this.held.push(release);
    return true;
  }

  /** Delivers the held messages, in their order or reversed, and holds no more. */
  release(order: 'forward' | 'reversed' = 'forward'): void {
    this.isReleased = true;
    this.releaseHeld(order);
  }

  /** Delivers the held messages, and goes on holding later ones. */
  releaseHeld(order: 'forward' | 'reversed' = 'forward'): void {
    const released = order === 'forward' ? this.held : this.held.reverse();
    this.held = [];
    released.forEach((release) => release());
  }

  /** Drops the held messages and holds no more. */
  discard(): void {
    this.isReleased = true;
    this.held = [];
  }
}
