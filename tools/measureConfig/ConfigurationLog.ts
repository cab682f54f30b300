import type ProcessWatch from '../harness/ProcessWatch';

interface Activation {
  readonly version: number;
  readonly at: number;
}

/** Records, from the logs, when a configuration version took effect at each process, across its restarts. */
export default class ConfigurationLog implements ProcessWatch {
  /** Descriptions of changes from a newer to an older version. */
  readonly reversions: string[] = [];

  private readonly activations = new Map<string, Activation[]>();

  /** Times at which each process was started or resumed. */
  private readonly returns = new Map<string, number[]>();

  /** Times at which each process was stopped or paused. */
  private readonly absences = new Map<string, number[]>();

  private constructor() {}

  /** Creates an empty log. */
  static create(): ConfigurationLog {
    return new ConfigurationLog();
  }

  /** Names of the processes at which any configuration has taken effect. */
  get names(): string[] {
    return [...this.activations.keys()];
  }

  readonly printed = (name: string, line: string): void => {
    const match = IN_FORCE.exec(line);
    const time = TIME.exec(line);
    if (!match || !time) return;
    const version = Number(match[1]);
    const known = this.activations.get(name) ?? [];
    const newest = known.at(-1)?.version ?? 0;
    if (version < newest) this.reversions.push(`${name} went from ${newest} to ${version}`);
    known.push({ version, at: Date.parse(time[1]!) });
    this.activations.set(name, known);
  };

  /** Records that a process is stopped or paused now. */
  recordAbsence(name: string): void {
    this.absences.set(name, [...(this.absences.get(name) ?? []), Date.now()]);
  }

  /** Records that a process is started or resumed now. */
  recordReturn(name: string): void {
    this.returns.set(name, [...(this.returns.get(name) ?? []), Date.now()]);
  }

  /** The newest version that has taken effect at a process; 0 if there is none. */
  newestAt(name: string): number {
    return Math.max(0, ...(this.activations.get(name) ?? []).map(({ version }) => version));
  }

  /**
   * Milliseconds from the apply of a version until it, or a newer one, took effect at
   * a process; undefined if it never did. If the process was stopped or paused at the
   * apply, the delay counts from its return.
   */
  delayOf(name: string, version: number, startedAt: number): number | undefined {
    const activation = (this.activations.get(name) ?? []).find((each) => each.version >= version);
    return activation && Math.max(0, activation.at - this.delayStart(name, startedAt));
  }

  private delayStart(name: string, at: number): number {
    const lastLeft = Math.max(0, ...(this.absences.get(name) ?? []).filter((left) => left <= at));
    const back = (this.returns.get(name) ?? []).find((each) => each >= lastLeft);
    if (lastLeft === 0 || back === undefined) return at;
    return Math.max(at, back);
  }
}

const IN_FORCE = /configuration (\d+) is in force/;
const TIME = /"time":"([^"]+)"/;
