/** What a sidecar has done since it started, as plain numbers. */
export default class SidecarCounters {
  readonly refusals: Record<string, number> = {};

  readonly done: Record<string, number> = {};

  starts = 0;

  dials = 0;

  links = 0;

  private constructor() {}

  /** Creates counters that stand at zero. */
  static create(): SidecarCounters {
    return new SidecarCounters();
  }

  /** Adds one to a counter of a group. */
  static add(group: Record<string, number>, name: string): void {
    group[name] = (group[name] ?? 0) + 1;
  }
}
