import { create } from '@bufbuild/protobuf';
import type BatchAnswer from '../../src/batches/BatchAnswer';
import BatchEntry from '../../src/batches/BatchEntry';
import type BatchPolicy from '../../src/batches/BatchPolicy';
import type BatchStep from '../../src/batches/BatchStep';
import type Queue from '../../src/batches/Queue';
import QueueTable from '../../src/batches/QueueTable';
import Random from '../../src/core/Random';
import { HelloSchema, Role, RoomSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import PROTOCOL_VERSION from '../../src/link/PROTOCOL_VERSION';
import type Metrics from '../../src/observe/Metrics';
import toAmount from '../../src/room/toAmount';
import Resources from '../../src/room/Resources';
import RunSidecar from '../../src/runs/RunSidecar';
import taskKey from '../../src/runs/taskKey';
import LeasedBackend from '../../tools/leasedBackend/LeasedBackend';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import ManualTimer from './ManualTimer';
import MemoryNetwork from './MemoryNetwork';
import valueOf from './valueOf';

type Work = Parameters<typeof LeasedBackend.create>[0]['work'];

interface BatchCaseOptions {
  readonly entries?: number;
  readonly sidecars?: number;
  readonly work?: Work;
  readonly policy?: BatchPolicy;
  /** Whether the entries have a configuration from the start. */
  readonly configured?: boolean;
  /** Whether a crashed backend server is restarted, as a new incarnation, after some time. */
  readonly restartsBackends?: boolean;
  /**
   * When the backend servers first started, ms since 1970, if they report that: they may then
   * restart under their ids.
   */
  readonly firstStartedAt?: number;
  /** The availability zones of the sidecars, by number; "z" by default. */
  readonly zones?: readonly string[];
  /** Called with each log line. */
  readonly onLog?: (message: string, fields: Readonly<Record<string, unknown>>) => void;
  /** Shared by all entries. */
  readonly metrics?: Metrics;
  /** Whether the entries keep cancellations in a store. */
  readonly hasStore?: boolean;
}

/** Batch entries, and sidecars with their backend servers, in one in-memory network. */
export default class BatchCase {
  readonly timer = ManualTimer.create();

  readonly network = MemoryNetwork.create(this.timer);

  readonly store = SimulatedStoreEngine.create(this.timer);

  readonly entries: BatchEntry[] = [];

  readonly sidecars: RunSidecar[] = [];

  readonly backends: LeasedBackend[] = [];

  /** Number of backend server crashes so far. */
  crashes = 0;

  /** The largest number of concurrent runs of one task so far. */
  maxConcurrentRuns = 0;

  private readonly concurrentRuns = new Map<string, number>();

  /** Addresses of entries that sidecars find in a lookup. */
  lookupResult: readonly string[] = [];

  private constructor(
    private readonly work: Work,
    private readonly policy: BatchPolicy | undefined,
    private readonly zones: readonly string[],
    private readonly restartsBackends: boolean,
    private readonly firstStartedAt: number | undefined,
    /** Whether there is only one entry, whose settings name no other. */
    private readonly isAlone: boolean,
    private readonly noted: Required<BatchCaseOptions>['onLog'],
    private readonly metrics: Metrics | undefined,
    private readonly hasStore: boolean,
  ) {}

  /**
   * Starts everything and waits until all are linked. Each backend server has capacity for four
   * tasks.
   */
  static async open({
    entries = 2,
    sidecars = 2,
    work,
    policy,
    configured = true,
    zones = [],
    restartsBackends = false,
    firstStartedAt,
    onLog = () => undefined,
    metrics,
    hasStore = false,
  }: BatchCaseOptions = {}): Promise<BatchCase> {
    const isAlone = entries === 1;
    const parts = [
      work,
      policy,
      zones,
      restartsBackends,
      firstStartedAt,
      isAlone,
      onLog,
      metrics,
      hasStore,
    ] as const;
    const batchCase = new BatchCase(...parts);
    for (let number = 0; number < entries; number += 1) await batchCase.addEntry(number);
    for (let number = 0; number < sidecars; number += 1) batchCase.addSidecar(number);
    await batchCase.timer.advance(300);
    if (!configured) return batchCase;
    batchCase.configure();
    await batchCase.timer.advance(100);
    return batchCase;
  }

  /**
   * Delivers a version of the configuration to an entry, as the store does; the first version by
   * default.
   */
  configure(version = 1, entry = 0): void {
    this.entries[entry]!.configure(tableOf(version), 'a test');
  }

  /** Starts an entry; after a kill, its next process. */
  async addEntry(number: number): Promise<BatchEntry> {
    const instance = `e${number}`;
    const entry = BatchEntry.create({
      ...this.partsOf(instance),
      policy: this.policy,
      metrics: this.metrics,
      store: this.hasStore ? this.store.client(instance) : undefined,
      listen: `${instance}:1`,
      seeds: this.isAlone ? ['e0:1'] : ['e0:1', 'e1:1'],
    });
    this.entries[number] = entry;
    await entry.start();
    return entry;
  }

  /** Starts a sidecar with a backend server that sends heartbeats. */
  addSidecar(number: number): void {
    this.backends[number] = this.newBackend(number);
    this.restartSidecar(number);
  }

  private newBackend(number: number): LeasedBackend {
    const { timer, work, firstStartedAt } = this;
    return LeasedBackend.create({
      timer,
      work,
      born: firstStartedAt,
      id: `b${number}.${timer.now()}`,
      onCrash: () => this.handleCrash(number),
      onRunChange: (what, run) => this.countRuns(taskKey(run), what === 'started' ? 1 : -1),
    });
  }

  private countRuns(task: string, change: number): void {
    const concurrentRuns = (this.concurrentRuns.get(task) ?? 0) + change;
    this.concurrentRuns.set(task, concurrentRuns);
    this.maxConcurrentRuns = Math.max(this.maxConcurrentRuns, concurrentRuns);
  }

  /** Sends a backend server's next heartbeat. */
  sendHeartbeat(number: number): void {
    this.sidecars[number]!.handleHeartbeat(this.backends[number]!.nextHeartbeat());
  }

  private handleCrash(number: number): void {
    this.crashes += 1;
    if (!this.restartsBackends) return;
    this.timer.after(RESTART_DELAY_MS, () => {
      const backend = this.newBackend(number);
      this.backends[number] = backend;
      this.sidecars[number]!.handleHeartbeat(backend.nextHeartbeat());
    });
  }

  /** Starts a sidecar's next process beside its backend server. */
  restartSidecar(number: number): void {
    const backend = this.backends[number]!;
    const sidecar = RunSidecar.start({
      ...this.partsOf(`s${number}`),
      zone: this.zones[number] ?? 'z',
      seeds: ['e0:1', 'e1:1'],
      findEntries: async () => this.lookupResult,
      connect: () => this.backends[number]!,
    });
    this.sidecars[number] = sidecar;
    sidecar.handleHeartbeat(backend.nextHeartbeat());
  }

  /** Submits a batch of tasks that each need a quarter of a backend server, and take `ms`. */
  submit(id: string, change: Submitted = {}): Submission {
    const { entry = 0, tasks = 1, ms = 100, waitMs = 10_000, steps } = change;
    const gone = new AbortController();
    const submission: Submission = { answer: undefined, gone };
    const queue = { ...QUEUE, ...change.queue };
    this.entries[entry]!.submit(
      { id, queue, spec: String(ms), waitMs, steps: steps ?? [stepOf(tasks, ms)] },
      gone.signal,
    ).then((answer) => {
      submission.answer = answer;
    });
    return submission;
  }

  /** A step of tasks that each need a quarter of a backend server. */
  stepOf(count: number, estimateMs: number): BatchStep {
    return stepOf(count, estimateMs);
  }

  /**
   * Links to the first entry as a process without behaviour of its own; `claims` is whether it says
   * that it answers claims.
   */
  async dial(instance: string, role: Role, claims = false): Promise<Link> {
    const hello = { cluster: 'c', protocol: PROTOCOL_VERSION, address: `${instance}:1`, claims };
    const whole = create(HelloSchema, { ...hello, instance, role });
    return valueOf(await this.network.endpoint(instance).dial('e0:1', whole));
  }

  /** Links as a sidecar whose backend server has capacity for four tasks. */
  async dialAsSidecar(instance: string): Promise<Link> {
    const link = await this.dial(instance, Role.SIDECAR);
    const room = toAmount(Resources.of({ cpuMilli: 16_000, memoryMb: 1_024 }));
    const value = create(RoomSchema, {
      ...{ backend: 'b', service: 'booking', accepting: true },
      ...{ total: room, free: room },
    });
    link.send({ case: 'room', value });
    await this.timer.advance(20);
    return link;
  }

  /** Tasks that are running, on all backend servers. */
  get running(): readonly string[] {
    return this.backends.flatMap(({ runningTasks: tasks }) => tasks).sort();
  }

  private partsOf(instance: string) {
    const { timer } = this;
    return {
      ...{ timer, instance, cluster: 'c', zone: 'z' },
      random: Random.fromSeed(1),
      incarnation: `${instance}.${this.timer.now()}`,
      network: this.network.endpoint(instance),
      log: { info: this.noted, warn: this.noted },
    };
  }
}

interface Submitted {
  readonly entry?: number;
  readonly tasks?: number;
  readonly ms?: number;
  readonly waitMs?: number;
  readonly steps?: readonly BatchStep[];
  readonly queue?: Partial<Queue>;
}

/** Time from a crash until the backend server's next incarnation announces itself, ms. */
const RESTART_DELAY_MS = 2_000;

/** A caller that waits for an answer, or is gone. */
interface Submission {
  answer: BatchAnswer | undefined;
  readonly gone: AbortController;
}

const QUEUE: Queue = {
  ...{ name: 'q', host: 'h', prefix: '/q/', service: 'booking' },
  ...{ priority: 0, maxAttempts: 2, timeoutMs: 10_000, stretch: 2, targetLatencyMs: 50 },
};

function tableOf(version: number): QueueTable {
  return QueueTable.of({ version, queues: [QUEUE], limits: QueueTable.none.limits });
}

function stepOf(count: number, estimateMs: number): BatchStep {
  return {
    ...{ count, estimateMs, after: [], label: '', preferredLabel: '', mostTogether: 0 },
    needs: Resources.of({ cpuMilli: 4_000, memoryMb: 64 }),
  };
}
