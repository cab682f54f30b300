import exitCodes from '../../src/core/exitCodes';
import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Cluster from '../harness/Cluster';
import type Journal from './Journal';

const RESTART_DELAY_MS = 1000;

interface SupervisorOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly cluster: () => Cluster;
  readonly journal: Journal;
}

/** Restarts each process under its name after its exit, like the platform. */
export default class Supervisor {
  /** Names of running processes that are not disrupted. */
  private readonly undisruptedNames = new Set<string>();

  private readonly signalled = new Set<string>();

  private readonly restarts = new Map<string, Promise<void>>();

  private isClosing = false;

  private constructor(private readonly options: SupervisorOptions) {}

  /** Creates a supervisor without processes. */
  static create(options: SupervisorOptions): Supervisor {
    return new Supervisor(options);
  }

  /** Starts supervising processes that are already running. */
  watch(names: readonly string[]): void {
    names.forEach((name) => this.undisruptedNames.add(name));
  }

  /** Names with a prefix of running processes that are not disrupted, sorted. */
  undisrupted(prefix: string): string[] {
    return [...this.undisruptedNames].filter((name) => name.startsWith(prefix)).sort();
  }

  /** Records that a process is disrupted, until `markRecovered` or its restart. */
  markDisrupted(name: string): void {
    this.undisruptedNames.delete(name);
  }

  /** Records that a process is no longer disrupted. */
  markRecovered(name: string): void {
    if (this.options.cluster().processes.names.includes(name)) this.undisruptedNames.add(name);
  }

  /** Sends a terminating signal to a process; it is restarted after its exit. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.markDisrupted(name);
    this.signalled.add(name);
    this.options.cluster().processes.signal(name, signal);
  }

  /** Handles the exit of a process: records a crash if it was unexpected, and restarts the process. */
  handleExit(name: string, code: number | null, signal: NodeJS.Signals | null): void {
    if (this.isClosing) return;
    const wasSignalled = this.signalled.delete(name);
    // An entry that the others removed exits by itself, and the platform restarts it: no crash.
    if (!wasSignalled && code !== exitCodes.removed) {
      this.options.journal.crashes.push(`${name}: code ${code}, signal ${signal}`);
    }
    this.markDisrupted(name);
    this.restarts.set(name, this.restart(name));
  }

  /** Resolves when all pending restarts are done. */
  async whenRestarted(): Promise<void> {
    await Promise.all(this.restarts.values());
  }

  /** Stops restarting processes. */
  close(): void {
    this.isClosing = true;
  }

  private async restart(name: string): Promise<void> {
    const { timer, random, journal } = this.options;
    await timer.sleep(random.jitter(RESTART_DELAY_MS));
    const prefix = name.split('-')[0]!;
    try {
      await starters[prefix]!(this.options.cluster(), name);
      this.undisruptedNames.add(name);
    } catch (error) {
      journal.crashes.push(`${name} did not start again: ${(error as Error).message}`);
    }
  }
}

const starters: Readonly<Record<string, (cluster: Cluster, name: string) => Promise<void>>> = {
  entry: (cluster, name) => cluster.startEntry(name),
  sidecar: (cluster, name) => cluster.startSidecar(name),
  backend: (cluster, name) => cluster.startBackendServer(name),
};
