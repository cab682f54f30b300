import exitCodes from '../../src/core/exitCodes';
import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Cluster from '../harness/Cluster';
import type Journal from './Journal';

const RESTART_MS = 1000;

interface SupervisorOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly cluster: () => Cluster;
  readonly journal: Journal;
}

/** Starts each process again under its name after it ended, as the platform would. */
export default class Supervisor {
  /** Processes that are up and were not touched. */
  private readonly up = new Set<string>();

  private readonly told = new Set<string>();

  private readonly restarts = new Map<string, Promise<void>>();

  private isClosing = false;

  private constructor(private readonly options: SupervisorOptions) {}

  /** Creates a supervisor that watches nothing yet. */
  static create(options: SupervisorOptions): Supervisor {
    return new Supervisor(options);
  }

  /** Takes over processes that have been started. */
  watch(names: readonly string[]): void {
    names.forEach((name) => this.up.add(name));
  }

  /** Names with a prefix that are up and untouched. */
  untouched(prefix: string): string[] {
    return [...this.up].filter((name) => name.startsWith(prefix)).sort();
  }

  /** Notes that a process is being disturbed; it counts as touched until `recovered` or its restart. */
  touch(name: string): void {
    this.up.delete(name);
  }

  /** Notes that a process runs undisturbed again. */
  recovered(name: string): void {
    if (this.options.cluster().processes.names.includes(name)) this.up.add(name);
  }

  /** Ends a process by a signal; it is started again once it has ended. */
  end(name: string, signal: NodeJS.Signals): void {
    this.touch(name);
    this.told.add(name);
    this.options.cluster().processes.signal(name, signal);
  }

  /** Takes note that a process has ended. */
  exited(name: string, code: number | null, signal: NodeJS.Signals | null): void {
    if (this.isClosing) return;
    const wasTold = this.told.delete(name);
    // The platform starts an entry again that the others removed.
    if (!wasTold && code !== exitCodes.removed) {
      this.options.journal.crashes.push(`${name}: code ${code}, signal ${signal}`);
    }
    this.touch(name);
    this.restarts.set(name, this.restart(name));
  }

  /** Resolves when all processes are up. */
  async settled(): Promise<void> {
    await Promise.all(this.restarts.values());
  }

  /** Starts nothing any more. */
  close(): void {
    this.isClosing = true;
  }

  private async restart(name: string): Promise<void> {
    const { timer, random, journal } = this.options;
    await timer.sleep(random.jitter(RESTART_MS));
    const prefix = name.split('-')[0]!;
    try {
      await starters[prefix]!(this.options.cluster(), name);
      this.up.add(name);
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
