type Listener = NodeJS.UncaughtExceptionListener;

/** Collects uncaught errors, which would otherwise end the process, until it is released. */
export default class UncaughtErrors {
  /** The errors as text, in the order in which they occurred. */
  readonly errors: string[] = [];

  private readonly previousListeners: readonly Listener[] = process.listeners('uncaughtException');

  private constructor() {
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', this.collect);
  }

  /** Replaces the present listeners for uncaught errors. */
  static collect(): UncaughtErrors {
    return new UncaughtErrors();
  }

  /** Restores the former listeners. */
  release(): void {
    process.off('uncaughtException', this.collect);
    this.previousListeners.forEach((listener) => process.on('uncaughtException', listener));
  }

  private readonly collect: Listener = (error) => this.errors.push(String(error));
}
