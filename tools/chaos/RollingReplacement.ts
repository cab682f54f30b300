import type TimerService from '../../src/core/TimerService';
import type Cluster from '../harness/Cluster';
import type Journal from './Journal';
import type Supervisor from './Supervisor';

const PAUSE_MS = 500;
const RESTART_TIMEOUT_MS = 45_000;

/** The graceful shutdown of a process, in monotonic milliseconds. */
interface Shutdown {
  readonly name: string;
  readonly signalledAt: number;
  readonly endedAt: number;
}

/** Replaces all processes one by one: each is shut down gracefully and restarted under the same name. */
export default class RollingReplacement {
  private readonly shutdowns: Shutdown[] = [];

  private constructor(
    private readonly timer: TimerService,
    private readonly cluster: Cluster,
    private readonly supervisor: Supervisor,
    private readonly journal: Journal,
  ) {}

  /** Creates a replacement that is inactive until `run`. */
  static create(
    timer: TimerService,
    cluster: Cluster,
    supervisor: Supervisor,
    journal: Journal,
  ): RollingReplacement {
    return new RollingReplacement(timer, cluster, supervisor, journal);
  }

  /** Replaces all entries, then all sidecars, then all backend servers. */
  async run(): Promise<void> {
    const names = ['entry', 'sidecar', 'backend'].flatMap((kind) =>
      this.supervisor.undisrupted(kind),
    );
    for (const name of names) await this.replace(name);
  }

  /** Longest time from SIGTERM to the exit of a process of a kind, in milliseconds. */
  maxShutdownMs(prefix: string): number {
    const times = this.shutdownsOf(prefix).map(({ signalledAt, endedAt }) => endedAt - signalledAt);
    return Math.round(Math.max(0, ...times));
  }

  /** Longest time from SIGTERM of a process to the last new start on its backend server before its exit, in milliseconds. */
  maxStartDelayMs(prefix: string): number {
    const times = this.shutdownsOf(prefix).flatMap(({ name, signalledAt, endedAt }) => {
      const backend = name.replace(prefix, 'backend');
      return this.journal.starts
        .filter(
          (start) => start.backend === backend && start.at > signalledAt && start.at < endedAt,
        )
        .map((start) => start.at - signalledAt);
    });
    return Math.round(Math.max(0, ...times));
  }

  private shutdownsOf(prefix: string): Shutdown[] {
    return this.shutdowns.filter(({ name }) => name.startsWith(prefix));
  }

  private async replace(name: string): Promise<void> {
    const signalledAt = performance.now();
    this.journal.disruptions.push({ at: signalledAt, kind: 'SIGTERM', target: name });
    const exited = this.cluster.processes.whenExited(name);
    this.supervisor.signal(name, 'SIGTERM');
    await exited;
    this.shutdowns.push({ name, signalledAt, endedAt: performance.now() });
    const deadline = signalledAt + RESTART_TIMEOUT_MS;
    while (!this.supervisor.undisrupted(name).includes(name) && performance.now() < deadline) {
      await this.timer.sleep(PAUSE_MS);
    }
    await this.timer.sleep(PAUSE_MS);
  }
}
