import type ProcessWatch from '../harness/ProcessWatch';

interface Sighting {
  readonly version: number;
  readonly at: number;
}

/** When each process put which version in force, as its log tells, over restarts of the process. */
export default class InForceLog implements ProcessWatch {
  /** Steps back to an older version, in words. */
  readonly reversions: string[] = [];

  private readonly sightings = new Map<string, Sighting[]>();

  /** When each process came back after it had been stopped or paused. */
  private readonly returns = new Map<string, number[]>();

  private readonly away = new Map<string, number[]>();

  private constructor() {}

  static create(): InForceLog {
    return new InForceLog();
  }

  /** Processes that have put something in force. */
  get names(): string[] {
    return [...this.sightings.keys()];
  }

  readonly printed = (name: string, line: string): void => {
    const match = IN_FORCE.exec(line);
    const time = TIME.exec(line);
    if (!match || !time) return;
    const version = Number(match[1]);
    const known = this.sightings.get(name) ?? [];
    const newest = known.at(-1)?.version ?? 0;
    if (version < newest) this.reversions.push(`${name} went from ${newest} to ${version}`);
    known.push({ version, at: Date.parse(time[1]!) });
    this.sightings.set(name, known);
  };

  /** Notes that a process is stopped or paused from now on. */
  leave(name: string): void {
    this.away.set(name, [...(this.away.get(name) ?? []), Date.now()]);
  }

  /** Notes that a process is started or goes on from now on. */
  comeBack(name: string): void {
    this.returns.set(name, [...(this.returns.get(name) ?? []), Date.now()]);
  }

  /** The newest version in force at a process. */
  newestAt(name: string): number {
    return Math.max(0, ...(this.sightings.get(name) ?? []).map(({ version }) => version));
  }

  /**
   * How long after its apply a version, or a newer one, was in force at a
   * process; undefined when it never was. For a process that was away at the
   * apply the time counts from its return.
   */
  delayOf(name: string, version: number, startedAt: number): number | undefined {
    const seen = (this.sightings.get(name) ?? []).find((each) => each.version >= version);
    return seen && Math.max(0, seen.at - this.presentFrom(name, startedAt));
  }

  private presentFrom(name: string, at: number): number {
    const lastLeft = Math.max(0, ...(this.away.get(name) ?? []).filter((left) => left <= at));
    const back = (this.returns.get(name) ?? []).find((each) => each >= lastLeft);
    if (lastLeft === 0 || back === undefined) return at;
    return Math.max(at, back);
  }
}

const IN_FORCE = /configuration (\d+) is in force/;
const TIME = /"time":"([^"]+)"/;
