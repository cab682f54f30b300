/**
 * Lets one task wait for a signal from another part of the program. A call of `wake` while no task waits
 * ends the next wait at once.
 */
export default class Wakeup {
  private isSignalled = false;

  private resume: (() => void) | undefined;

  private constructor() {}

  /** Creates a signal that is not set. */
  static create(): Wakeup {
    return new Wakeup();
  }

  /** Resolves at the next call of `wake`, or at once if there was one since the last wait. */
  async wait(): Promise<void> {
    if (!this.isSignalled) {
      await new Promise<void>((resolve) => {
        this.resume = resolve;
      });
    }
    this.isSignalled = false;
  }

  /** Resumes the waiting task. */
  wake(): void {
    this.isSignalled = true;
    const { resume } = this;
    this.resume = undefined;
    resume?.();
  }
}
