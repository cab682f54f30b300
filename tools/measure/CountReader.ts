import type Processes from '../harness/Processes';

interface KindCount {
  readonly messages: number;
  readonly bytes: number;
}

/** Counters that a daemon prints on SIGUSR2. */
interface Counts {
  readonly sent: Readonly<Record<string, KindCount>>;
  readonly cpuMs: number;
  readonly rssBytes: number;
}

/** Sums over the daemons of one role. */
interface Totals {
  readonly sent: Record<string, { messages: number; bytes: number }>;
  cpuMs: number;
  mostRssBytes: number;
}

/** Reads the counters of running daemons and sums up their growth over a measurement interval. */
export default class CountReader {
  private readonly reads = new Map<string, number>();

  /** Counters of each daemon at the start of the interval. */
  private readonly before = new Map<string, Counts>();

  /** Final and initial counters of daemons that were stopped within the interval. */
  private readonly stopped: [string, Counts, Counts | undefined][] = [];

  private constructor(private readonly processes: Processes) {}

  /** Creates a reader for the daemons among these processes. */
  static create(processes: Processes): CountReader {
    return new CountReader(processes);
  }

  /** Starts the measurement interval. */
  async begin(): Promise<void> {
    await Promise.all(
      this.daemons().map(async (name) => this.before.set(name, await this.read(name))),
    );
  }

  /** Records the counters of a daemon that is about to be stopped. */
  async recordStopped(name: string): Promise<void> {
    this.stopped.push([name, await this.read(name), this.before.get(name)]);
    this.before.delete(name);
    this.reads.delete(name);
  }

  /** Growth of all daemons' counters since `begin`, by role. */
  async totals(): Promise<Record<'entry' | 'sidecar', Totals>> {
    const totals = { entry: emptyTotals(), sidecar: emptyTotals() };
    const add = (name: string, now: Counts, before?: Counts) =>
      addTo(totals[name.startsWith('entry') ? 'entry' : 'sidecar'], now, before);
    this.stopped.forEach(([name, now, before]) => add(name, now, before));
    await Promise.all(
      this.daemons().map(async (name) => add(name, await this.read(name), this.before.get(name))),
    );
    return totals;
  }

  private daemons(): string[] {
    return this.processes.names.filter((name) => /^(entry|sidecar)-/.test(name));
  }

  private async read(name: string): Promise<Counts> {
    const number = (this.reads.get(name) ?? 0) + 1;
    this.reads.set(name, number);
    this.processes.signal(name, 'SIGUSR2');
    const text = await this.processes.waitFor(name, new RegExp(`^counts ${number} (.*)`));
    return JSON.parse(text) as Counts;
  }
}

function emptyTotals(): Totals {
  return { sent: {}, cpuMs: 0, mostRssBytes: 0 };
}

function addTo(totals: Totals, now: Counts, before?: Counts): void {
  totals.cpuMs += now.cpuMs - (before?.cpuMs ?? 0);
  totals.mostRssBytes = Math.max(totals.mostRssBytes, now.rssBytes);
  Object.entries(now.sent).forEach(([kind, { messages, bytes }]) => {
    const old = before?.sent[kind] ?? { messages: 0, bytes: 0 };
    const sum = totals.sent[kind] ?? { messages: 0, bytes: 0 };
    sum.messages += messages - old.messages;
    sum.bytes += bytes - old.bytes;
    totals.sent[kind] = sum;
  });
}
