type Listener = NodeJS.UncaughtExceptionListener;

/** Collects the errors that nobody caught, which would end a process, until it is released. */
export default class Uncaught {
  /** What each error says, in their order. */
  readonly errors: string[] = [];

  private readonly others: readonly Listener[] = process.listeners('uncaughtException');

  private constructor() {
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', this.collect);
  }

  /** Takes the place of all that listens to such errors now. */
  static collect(): Uncaught {
    return new Uncaught();
  }

  /** Puts the listeners back. */
  release(): void {
    process.off('uncaughtException', this.collect);
    this.others.forEach((other) => process.on('uncaughtException', other));
  }

  private readonly collect: Listener = (error) => this.errors.push(String(error));
}
