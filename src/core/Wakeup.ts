/** Lets one task wait until another part has something for it. A call of `wake` while nobody waits is kept. */
export default class Wakeup {
  private awake = false;

  private resume: (() => void) | undefined;

  private constructor() {}

  /** Creates one on which nothing has happened yet. */
  static create(): Wakeup {
    return new Wakeup();
  }

  /** Resolves at the next call of `wake`, or at once after one that nobody has waited for. */
  async wait(): Promise<void> {
    if (!this.awake) {
      await new Promise<void>((resolve) => {
        this.resume = resolve;
      });
    }
    this.awake = false;
  }

  /** Resumes the waiting task. */
  wake(): void {
    this.awake = true;
    const { resume } = this;
    this.resume = undefined;
    resume?.();
  }
}
