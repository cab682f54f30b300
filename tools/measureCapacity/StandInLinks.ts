import type Processes from '../harness/Processes';
import type StandInReport from './StandInReport';

const POLL_MS = 20;
const TIMEOUT_MS = 30_000;
const PROGRAM = 'measureCapacity';

/** Stand-in sidecar links to one entry, opened by child processes and controlled by the measurement program. */
export default class StandInLinks {
  private readonly opened: { readonly name: string; readonly links: number }[] = [];

  private processCount = 0;

  private constructor(
    private readonly processes: Processes,
    private readonly entry: string,
    private readonly slots: number,
    private readonly taskMs: number,
  ) {}

  /** Creates an empty set of links to the entry at a peer address. */
  static to(processes: Processes, entry: string, slots: number, taskMs = 0): StandInLinks {
    return new StandInLinks(processes, entry, slots, taskMs);
  }

  /** Number of open links. */
  get count(): number {
    return this.opened.reduce((sum, { links }) => sum + links, 0);
  }

  /** Starts another process that opens this many links, and waits until they are open. */
  async add(links: number): Promise<void> {
    this.processCount += 1;
    const name = `links-${this.entry}-${this.processCount}`;
    const args = ['--name', name.replaceAll(/[^\w-]/g, '_'), '--links', `${links}`];
    const load = ['--slots', `${this.slots}`, '--task-ms', `${this.taskMs}`];
    this.processes.start(name, PROGRAM, ['stand-ins', '--entry', this.entry, ...args, ...load]);
    await this.processes.waitFor(name, new RegExp(`report {"links":${links},`), TIMEOUT_MS);
    this.opened.push({ name, links });
  }

  /** Stops the process that was added last, which closes its links. */
  async removeLast(): Promise<void> {
    const { name } = this.opened.pop()!;
    this.processes.signal(name, 'SIGTERM');
    await this.processes.whenExited(name);
  }

  /** The latest reports of all processes, merged. */
  report(): StandInReport {
    return this.opened.map(({ name }) => latest(this.processes.output(name))).reduce(merge);
  }

  /** Waits until the merged report satisfies the condition, and returns it. Throws after 30 s. */
  async waitUntil(condition: (report: StandInReport) => boolean): Promise<StandInReport> {
    const deadline = performance.now() + TIMEOUT_MS;
    while (performance.now() < deadline) {
      const report = this.report();
      if (condition(report)) return report;
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
    throw new Error(
      `stand-in links did not reach the expected state within 30 s: ${JSON.stringify(this.report())}`,
    );
  }
}

function latest(lines: readonly string[]): StandInReport {
  const line = lines.findLast((each) => each.startsWith('report '));
  return JSON.parse(line!.slice('report '.length)) as StandInReport;
}

function merge(a: StandInReport, b: StandInReport): StandInReport {
  return {
    links: a.links + b.links,
    bytesReceived: a.bytesReceived + b.bytesReceived,
    bytesSent: a.bytesSent + b.bytesSent,
    messagesReceived: a.messagesReceived + b.messagesReceived,
    messagesSent: a.messagesSent + b.messagesSent,
    tasks: a.tasks + b.tasks,
    view: Math.min(a.view, b.view),
    viewAt: Math.max(a.viewAt, b.viewAt),
    configuration: Math.min(a.configuration, b.configuration),
    configurationAt: Math.max(a.configurationAt, b.configurationAt),
  };
}
