import type TimerService from '../../src/core/TimerService';
import type Cluster from '../harness/Cluster';
import type Journal from './Journal';
import type Supervisor from './Supervisor';

const GAP_MS = 500;
const LIMIT_MS = 45_000;

/** How a process left. */
interface Leaving {
  readonly name: string;
  readonly toldAt: number;
  readonly endedAt: number;
}

/** Replaces all processes one by one, each by an orderly stop and a start under the same name. */
export default class Rolling {
  private readonly leavings: Leaving[] = [];

  private constructor(
    private readonly timer: TimerService,
    private readonly cluster: Cluster,
    private readonly supervisor: Supervisor,
    private readonly journal: Journal,
  ) {}

  /** Creates a replacement that has not begun. */
  static create(
    timer: TimerService,
    cluster: Cluster,
    supervisor: Supervisor,
    journal: Journal,
  ): Rolling {
    return new Rolling(timer, cluster, supervisor, journal);
  }

  /** Replaces entries, sidecars and backend servers. */
  async run(): Promise<void> {
    const names = ['entry', 'sidecar', 'backend'].flatMap((kind) =>
      this.supervisor.untouched(kind),
    );
    for (const name of names) await this.replace(name);
  }

  /** Longest time to the exit of a leaving process of a kind, milliseconds. */
  longestStopMs(prefix: string): number {
    const times = this.of(prefix).map(({ toldAt, endedAt }) => endedAt - toldAt);
    return Math.round(Math.max(0, ...times));
  }

  /** Longest time to the last new start on the backend server of a leaving process, milliseconds. */
  lastStartMs(prefix: string): number {
    const times = this.of(prefix).flatMap(({ name, toldAt, endedAt }) => {
      const backend = name.replace(prefix, 'backend');
      return this.journal.starts
        .filter((start) => start.backend === backend && start.at > toldAt && start.at < endedAt)
        .map((start) => start.at - toldAt);
    });
    return Math.round(Math.max(0, ...times));
  }

  private of(prefix: string): Leaving[] {
    return this.leavings.filter(({ name }) => name.startsWith(prefix));
  }

  private async replace(name: string): Promise<void> {
    const toldAt = performance.now();
    this.journal.disruptions.push({ at: toldAt, kind: 'SIGTERM', target: name });
    const ended = this.cluster.processes.ended(name);
    this.supervisor.end(name, 'SIGTERM');
    await ended;
    this.leavings.push({ name, toldAt, endedAt: performance.now() });
    const deadline = toldAt + LIMIT_MS;
    while (!this.supervisor.untouched(name).includes(name) && performance.now() < deadline) {
      await this.timer.sleep(GAP_MS);
    }
    await this.timer.sleep(GAP_MS);
  }
}
