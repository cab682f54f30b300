/** Event counts of a sidecar since it started; its metrics read them. */
export default class SidecarCounters {
  /** Refused start requests by `RefusalCause` name. */
  readonly refusals: Record<string, number> = {};

  /** Recorded task results by `TaskStatus` name. */
  readonly done: Record<string, number> = {};

  /** Tasks handed to the backend server. */
  starts = 0;

  /** Attempts to connect to an entry. */
  dials = 0;

  /** Links opened to entries. */
  linksOpened = 0;

  private constructor() {}

  /** Creates counters at zero. */
  static create(): SidecarCounters {
    return new SidecarCounters();
  }

  /** Increments the named counter of a group. */
  static increment(group: Record<string, number>, name: string): void {
    group[name] = (group[name] ?? 0) + 1;
  }
}
