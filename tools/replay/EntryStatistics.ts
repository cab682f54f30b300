/** Statistics of one entry in a replay. */
interface EntrySummary {
  readonly entry: number;
  /** Largest backlog in any sample, tasks. */
  readonly longestBacklog: number;
  /** Time that tasks waited for their start, 90th percentile, ms. */
  readonly waitMs: number;
  readonly starts: number;
  /** Start requests refused for lack of free capacity. */
  readonly refused: number;
  /** Batches that arrived there, and the share that met its latency target. */
  readonly batches: number;
  readonly onTime: number;
  /** How long its backlog had at least 100 tasks while another entry's had at most 10, ms. */
  readonly starvedMs: number;
}

/** Collects statistics of each entry from its log lines and from samples of its backlog. */
export default class EntryStatistics {
  private readonly longest: number[];

  private readonly starvedMs: number[];

  private readonly waits: number[][];

  private readonly refusals: number[];

  private constructor(entries: number) {
    this.longest = Array(entries).fill(0);
    this.starvedMs = Array(entries).fill(0);
    this.refusals = Array(entries).fill(0);
    this.waits = Array.from({ length: entries }, () => []);
  }

  /** Creates empty statistics for this number of entries. */
  static of(entries: number): EntryStatistics {
    return new EntryStatistics(entries);
  }

  /** Processes a line of an entry's log. */
  addLogLine(entry: number, message: string, fields: Readonly<Record<string, unknown>> = {}): void {
    if (message === 'starts are ordered') {
      const { waitedMs, starts } = fields as { waitedMs: number; starts: readonly unknown[] };
      starts.forEach(() => this.waits[entry]?.push(waitedMs));
    }
    if (fields.outcome === 'REFUSED') this.refusals[entry]! += 1;
  }

  /**
   * Records a sample of all backlogs, tasks; undefined for an absent entry. `sinceMs` is the time since the previous
   * sample, ms.
   */
  addSample(backlogs: readonly (number | undefined)[], sinceMs: number): void {
    const shortest = Math.min(...backlogs.filter((backlog) => backlog !== undefined));
    backlogs.forEach((known, entry) => {
      const backlog = known ?? 0;
      this.longest[entry] = Math.max(this.longest[entry]!, backlog);
      if (backlog >= LONG_TASKS && shortest <= SHORT_TASKS) this.starvedMs[entry]! += sinceMs;
    });
  }

  /** Summarizes each entry, given the answers of the replay. */
  summarize(
    answers: readonly { readonly entry: number; readonly isOnTime: boolean }[],
  ): readonly EntrySummary[] {
    return this.longest.map((longestBacklog, entry) => {
      const own = answers.filter((answer) => answer.entry === entry);
      const waits = this.waits[entry]!.sort((a, b) => a - b);
      return {
        entry,
        longestBacklog,
        waitMs: waits[Math.floor(waits.length * WAIT_PERCENTILE)] ?? 0,
        starts: waits.length,
        refused: this.refusals[entry]!,
        batches: own.length,
        onTime: own.filter(({ isOnTime }) => isOnTime).length / Math.max(1, own.length),
        starvedMs: this.starvedMs[entry]!,
      };
    });
  }
}

const WAIT_PERCENTILE = 0.9;

/** An entry is starved while its backlog is at least LONG_TASKS and another's is at most SHORT_TASKS. */
const LONG_TASKS = 100;
const SHORT_TASKS = 10;
