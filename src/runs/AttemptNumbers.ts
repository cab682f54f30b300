import runLimits from './runLimits';

/**
 * The highest attempt number used for each task at one backend server, which refuses numbers that are not
 * higher than one that has ended there. Only the newest few thousand tasks are remembered; when a number turns
 * out to be already used, the start is sent again with a higher one.
 */
export default class AttemptNumbers {
  private readonly highest = new Map<string, number>();

  private constructor() {}

  /** Creates attempt numbers for a backend server on which nothing was started. */
  static create(): AttemptNumbers {
    return new AttemptNumbers();
  }

  /** Allocates the next number for the task, at least `lowest`. */
  allocate(task: string, lowest: number): number {
    const next = Math.max(lowest, (this.highest.get(task) ?? 0) + 1, 1);
    this.highest.delete(task);
    this.highest.set(task, next);
    if (this.highest.size > runLimits.maxRememberedAttempts) this.forgetOldest();
    return next;
  }

  private forgetOldest(): void {
    const [oldest] = this.highest.keys();
    if (oldest !== undefined) this.highest.delete(oldest);
  }
}
