import { request } from 'undici';
import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Cluster from '../harness/Cluster';
import type Journal from './Journal';
import type Supervisor from './Supervisor';

const MEAN_GAP_MS = 1200;
const MIN_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 12_000;
const MAX_STORE_FAULT_MS = 8000;
const MAX_STORE_DELAY_MS = 1500;
/** Processes of a kind that may be disturbed at once. */
const AT_ONCE: Readonly<Record<string, number>> = { entry: 2, sidecar: 3, backend: 3 };
const PREFIXES = Object.keys(AT_ONCE);

interface DisruptorOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly cluster: Cluster;
  readonly supervisor: Supervisor;
  readonly journal: Journal;
  /** Kinds of disruptions to choose from; all when empty. */
  readonly kinds: readonly string[];
}

/** Kills, pauses and stops processes at random, and disturbs the platform stand-in. */
export default class Disruptor {
  private readonly ends: Promise<void>[] = [];

  private isStoreDisturbed = false;

  private constructor(private readonly options: DisruptorOptions) {}

  /** Creates a disruptor that does nothing before `run`. */
  static create(options: DisruptorOptions): Disruptor {
    return new Disruptor(options);
  }

  /** Disturbs until the signal, then ends what it began. */
  async run(stop: AbortSignal): Promise<void> {
    const { timer, random, kinds } = this.options;
    const chosen = kinds.length > 0 ? kinds : Object.keys(actions);
    while (!stop.aborted) {
      await timer.sleep(random.jitter(MEAN_GAP_MS), stop);
      if (stop.aborted) break;
      const kind = chosen[random.below(chosen.length)]!;
      const prefix = PREFIXES[random.below(PREFIXES.length)]!;
      this.ends.push(actions[kind]!(this, prefix, stop));
    }
    await Promise.all(this.ends);
  }

  /** Ends a process by a signal. */
  end(prefix: string, signal: NodeJS.Signals): void {
    const name = this.choose(prefix);
    if (name === undefined) return;
    this.note(signal, name);
    this.options.supervisor.end(name, signal);
  }

  /** Stops a process for some seconds. */
  async pause(prefix: string, stop: AbortSignal): Promise<void> {
    const name = this.choose(prefix);
    if (name === undefined) return;
    const { timer, random, supervisor, cluster } = this.options;
    const pauseMs = MIN_PAUSE_MS + random.unit() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
    this.note(`SIGSTOP ${Math.round(pauseMs)} ms`, name);
    supervisor.touch(name);
    cluster.processes.signal(name, 'SIGSTOP');
    await timer.sleep(pauseMs, stop);
    cluster.processes.signal(name, 'SIGCONT');
    this.note('SIGCONT', name);
    supervisor.recovered(name);
  }

  /** Has the platform stand-in misbehave for some seconds. */
  async disturbStore(faults: object, stop: AbortSignal): Promise<void> {
    if (this.isStoreDisturbed) return;
    this.isStoreDisturbed = true;
    const { timer, random } = this.options;
    this.note(`store ${JSON.stringify(faults)}`, 'platform');
    await this.setFaults(faults);
    await timer.sleep(random.unit() * MAX_STORE_FAULT_MS, stop);
    await this.setFaults({});
    this.note('store well', 'platform');
    this.isStoreDisturbed = false;
  }

  /** Milliseconds by which a slow store delays its calls. */
  storeDelayMs(): number {
    return Math.round(this.options.random.unit() * MAX_STORE_DELAY_MS);
  }

  private choose(prefix: string): string | undefined {
    const { supervisor, cluster, random } = this.options;
    const { entries, backends } = cluster.size;
    const all = prefix === 'entry' ? entries : backends;
    const untouched = supervisor.untouched(prefix);
    if (all - untouched.length >= AT_ONCE[prefix]!) return undefined;
    return untouched[random.below(untouched.length)];
  }

  private async setFaults(faults: object): Promise<void> {
    const { body } = await request(`http://${this.options.cluster.platform}/v1/faults`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(faults),
    });
    await body.dump();
  }

  private note(kind: string, target: string): void {
    this.options.journal.disruptions.push({ at: performance.now(), kind, target });
  }
}

type Action = (disruptor: Disruptor, prefix: string, stop: AbortSignal) => Promise<void>;

/** What can be done, by name. */
const actions: Readonly<Record<string, Action>> = {
  kill: async (disruptor, prefix) => disruptor.end(prefix, 'SIGKILL'),
  stop: async (disruptor, prefix) => disruptor.end(prefix, 'SIGTERM'),
  pause: (disruptor, prefix, stop) => disruptor.pause(prefix, stop),
  storeDown: (disruptor, _prefix, stop) => disruptor.disturbStore({ down: true }, stop),
  storeSlow: (disruptor, _prefix, stop) =>
    disruptor.disturbStore({ slowMs: disruptor.storeDelayMs() }, stop),
  storeAnswersLost: (disruptor, _prefix, stop) =>
    disruptor.disturbStore({ answerLost: true }, stop),
};
