import { request } from 'undici';
import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Cluster from '../harness/Cluster';
import type Journal from './Journal';
import type Supervisor from './Supervisor';

const MEAN_INTERVAL_MS = 1200;
const MIN_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 12_000;
const MAX_STORE_FAULT_MS = 8000;
const MAX_STORE_DELAY_MS = 1500;
/** Maximum number of processes of a kind that are disrupted at the same time. */
const MAX_CONCURRENT: Readonly<Record<string, number>> = { entry: 2, sidecar: 3, backend: 3 };
const PREFIXES = Object.keys(MAX_CONCURRENT);

interface DisruptorOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly cluster: Cluster;
  readonly supervisor: Supervisor;
  readonly journal: Journal;
  /** Kinds of disruptions to choose from; all if empty. */
  readonly kinds: readonly string[];
}

/** Kills, pauses and stops random processes, and injects faults into the platform stand-in. */
export default class Disruptor {
  private readonly running: Promise<void>[] = [];

  private isStoreDisrupted = false;

  private constructor(private readonly options: DisruptorOptions) {}

  /** Creates a disruptor that is inactive until `run`. */
  static create(options: DisruptorOptions): Disruptor {
    return new Disruptor(options);
  }

  /** Starts disruptions until the signal, and resolves once all have ended. */
  async run(stop: AbortSignal): Promise<void> {
    const { timer, random, kinds } = this.options;
    const enabledKinds = kinds.length > 0 ? kinds : Object.keys(actions);
    while (!stop.aborted) {
      await timer.sleep(random.jitter(MEAN_INTERVAL_MS), stop);
      if (stop.aborted) break;
      const kind = enabledKinds[random.below(enabledKinds.length)]!;
      const prefix = PREFIXES[random.below(PREFIXES.length)]!;
      this.running.push(actions[kind]!(this, prefix, stop));
    }
    await Promise.all(this.running);
  }

  /** Sends a terminating signal to a random process. */
  endProcess(prefix: string, signal: NodeJS.Signals): void {
    const name = this.chooseProcess(prefix);
    if (name === undefined) return;
    this.record(signal, name);
    this.options.supervisor.signal(name, signal);
  }

  /** Pauses a random process for some seconds. */
  async pause(prefix: string, stop: AbortSignal): Promise<void> {
    const name = this.chooseProcess(prefix);
    if (name === undefined) return;
    const { timer, random, supervisor, cluster } = this.options;
    const pauseMs = MIN_PAUSE_MS + random.unit() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
    this.record(`SIGSTOP ${Math.round(pauseMs)} ms`, name);
    supervisor.markDisrupted(name);
    cluster.processes.signal(name, 'SIGSTOP');
    await timer.sleep(pauseMs, stop);
    cluster.processes.signal(name, 'SIGCONT');
    this.record('SIGCONT', name);
    supervisor.markRecovered(name);
  }

  /** Injects faults into the platform stand-in for some seconds, unless others are active. */
  async disruptStore(faults: object, stop: AbortSignal): Promise<void> {
    if (this.isStoreDisrupted) return;
    this.isStoreDisrupted = true;
    const { timer, random } = this.options;
    this.record(`store ${JSON.stringify(faults)}`, 'platform');
    await this.setFaults(faults);
    await timer.sleep(random.unit() * MAX_STORE_FAULT_MS, stop);
    await this.setFaults({});
    this.record('store well', 'platform');
    this.isStoreDisrupted = false;
  }

  /** A random delay of store calls, in milliseconds. */
  randomStoreDelayMs(): number {
    return Math.round(this.options.random.unit() * MAX_STORE_DELAY_MS);
  }

  private chooseProcess(prefix: string): string | undefined {
    const { supervisor, cluster, random } = this.options;
    const { entries, backends } = cluster.size;
    const all = prefix === 'entry' ? entries : backends;
    const undisrupted = supervisor.undisrupted(prefix);
    if (all - undisrupted.length >= MAX_CONCURRENT[prefix]!) return undefined;
    return undisrupted[random.below(undisrupted.length)];
  }

  private async setFaults(faults: object): Promise<void> {
    const { body } = await request(`http://${this.options.cluster.platform}/v1/faults`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(faults),
    });
    await body.dump();
  }

  private record(kind: string, target: string): void {
    this.options.journal.disruptions.push({ at: performance.now(), kind, target });
  }
}

type Action = (disruptor: Disruptor, prefix: string, stop: AbortSignal) => Promise<void>;

/** Disruptions by kind. */
const actions: Readonly<Record<string, Action>> = {
  kill: async (disruptor, prefix) => disruptor.endProcess(prefix, 'SIGKILL'),
  stop: async (disruptor, prefix) => disruptor.endProcess(prefix, 'SIGTERM'),
  pause: (disruptor, prefix, stop) => disruptor.pause(prefix, stop),
  storeDown: (disruptor, _prefix, stop) => disruptor.disruptStore({ down: true }, stop),
  storeSlow: (disruptor, _prefix, stop) =>
    disruptor.disruptStore({ slowMs: disruptor.randomStoreDelayMs() }, stop),
  storeAnswersLost: (disruptor, _prefix, stop) =>
    disruptor.disruptStore({ answerLost: true }, stop),
};
