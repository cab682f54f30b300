import { create } from '@bufbuild/protobuf';
import { ResultAsync } from 'neverthrow';
import digestOf from '../../src/callers/digestOf';
import jobKey from '../../src/core/jobKey';
import ownerOf from '../../src/core/ownerOf';
import Random from '../../src/core/Random';
import Entry from '../../src/entry/Entry';
import {
  Action,
  Outcome,
  SubmissionSchema,
  type View,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import storeKeys from '../../src/membership/storeKeys';
import type Manifest from '../../src/settings/Manifest';
import Sidecar from '../../src/sidecar/Sidecar';
import SidecarCounters from '../../src/sidecar/SidecarCounters';
import type Store from '../../src/store/Store';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import type SimulatedCall from './SimulatedCall';
import type SimulationEvent from './SimulationEvent';
import ManualTimer from './ManualTimer';
import MemoryNetwork from './MemoryNetwork';
import never from './never';
import SimulatedBackend from './SimulatedBackend';
import SimulatedProcess from './SimulatedProcess';

/** How long a caller asks an entry to wait with its answer, and when it drops its connection. */
const ANSWER_WAIT_MS = 5000;
const CONNECTION_TIMEOUT_MS = 12_000;
const RETRY_MS = 300;
const RENEW_MS = 1000;
const CLOCK_SKEW_MS = 5000;
const FINAL_OUTCOMES: ReadonlySet<string> = new Set([
  'completed',
  'failed',
  'conflict',
  'expired',
  'cancelled',
]);

interface EntryProcess {
  readonly process: SimulatedProcess;
  readonly incarnation: string;
  readonly entry: Entry;
  readonly stop: AbortController;
}

interface SidecarProcess {
  readonly process: SimulatedProcess;
  readonly sidecar: Sidecar;
  readonly stop: AbortController;
}

/**
 * A whole system of the real code in one process, on simulated time: entries,
 * sidecars with their backend servers, a stand-in for the platform, and callers.
 */
export default class SimulatedSystem {
  readonly timer = ManualTimer.create(1);

  readonly network = MemoryNetwork.create(this.timer);

  readonly engine = SimulatedStoreEngine.create(this.timer);

  readonly events: SimulationEvent[] = [];

  readonly logs: string[] = [];

  readonly entries = new Map<string, EntryProcess>();

  readonly sidecars = new Map<string, SidecarProcess>();

  readonly backends = new Map<string, SimulatedBackend>();

  /** Number of calls without a final answer. */
  openCalls = 0;

  private processCount = 0;

  private callCount = 0;

  private manifestVersion = 0;

  private constructor(readonly slots: number) {}

  /** Starts a system and waits until it is idle. */
  static async start(entries = 3, sidecars = 3, slots = 4): Promise<SimulatedSystem> {
    const system = new SimulatedSystem(slots);
    await system.configure();
    for (let n = 1; n <= entries; n += 1) await system.startEntry(`e${n}`);
    for (let n = 1; n <= sidecars; n += 1) system.startSidecar(`s${n}`);
    await system.timer.advance(2500);
    return system;
  }

  /** Puts the next version of the manifest into the store, with overrides of the default one. */
  async configure(overrides: object = {}, retired?: object): Promise<void> {
    this.manifestVersion += 1;
    const manifest = { ...MANIFEST, ...overrides };
    const value = { version: this.manifestVersion, manifest, retired };
    await this.engine.put(storeKeys.manifest, JSON.stringify(value));
  }

  /** Starts an entry's process, under a new incarnation. */
  async startEntry(instance: string): Promise<void> {
    const process = SimulatedProcess.start(this.timer);
    this.processCount += 1;
    const incarnation = `${instance}-${this.processCount}`;
    const log = (line: string) => this.logs.push(`${this.timer.now()} ${incarnation}: ${line}`);
    const entry = Entry.create({
      ...{ incarnation, timer: process, random: Random.fromSeed(this.processCount) },
      settings: settingsOf(instance),
      network: this.network.endpoint(instance),
      store: pausable(this.engine.client(instance), process),
      log: { info: log, warn: log } as never,
    });
    const listening = await entry.listenToPeers();
    if (listening.isErr()) throw new Error(listening.error);
    const stop = new AbortController();
    const run = { process, incarnation, entry, stop };
    this.entries.set(instance, run);
    entry.run(stop.signal).then((ended) => {
      log(`ended ${ended}`);
      this.handleProcessEnd(instance, run);
    }, log);
  }

  /** Starts a sidecar's process; its backend server announces itself to it. */
  startSidecar(instance: string): void {
    const process = SimulatedProcess.start(this.timer);
    this.processCount += 1;
    const backend =
      this.backends.get(instance) ?? SimulatedBackend.start(instance, this.timer, this.events);
    this.backends.set(instance, backend);
    const incarnation = `${instance}-${this.processCount}`;
    const sidecar = Sidecar.create({
      ...{ cluster: 'test', instance, incarnation, zone: 'z1', links: 16, timer: process },
      random: Random.fromSeed(this.processCount),
      network: this.network.endpoint(instance),
      client: backend.clientOf(process),
      counters: SidecarCounters.create(),
      entries: [1, 2, 3].map((n) => addressOf(`e${n}`)),
      heartbeat: HEARTBEAT,
      ...{ ledgerBytes: 10_000_000, skewMs: CLOCK_SKEW_MS, renewMs: RENEW_MS, drainMs: 30_000 },
      log: (line) => this.logs.push(`${this.timer.now()} ${incarnation}: ${line}`),
    });
    const stop = new AbortController();
    const run = { process, sidecar, stop };
    this.sidecars.set(instance, run);
    sidecar.run(stop.signal).then(
      () => this.handleProcessEnd(instance, run),
      (cause) => this.logs.push(String(cause)),
    );
    this.announcePeriodically(instance, run, backend);
  }

  /** Kills the process of an instance. A backend server has the name of its sidecar. */
  kill(instance: string): void {
    this.processOf(instance).kill();
    this.network.kill(instance);
  }

  /** Restarts the process of an instance unless it is running. */
  async restart(instance: string): Promise<void> {
    if (this.processOf(instance).isAlive) return;
    if (this.entries.has(instance)) await this.startEntry(instance);
    else this.startSidecar(instance);
  }

  /** Whether the process of an instance is running. */
  isRunning(instance: string): boolean {
    return this.processOf(instance).isAlive;
  }

  /** Pauses a process, as SIGSTOP does. */
  pause(instance: string): void {
    this.processOf(instance).pause();
    this.network.pause(instance);
  }

  /** Continues a paused process. */
  resume(instance: string): void {
    if (!this.processOf(instance).isAlive) return;
    this.processOf(instance).resume();
    this.network.resume(instance);
  }

  /** Starts the graceful shutdown of a process. */
  shutDown(instance: string): void {
    (this.entries.get(instance) ?? this.sidecars.get(instance))!.stop.abort();
  }

  /** Advances the time until the condition holds; returns whether it did within the limit. */
  async advanceUntil(condition: () => boolean, limitMs: number, stepMs = 1): Promise<boolean> {
    const end = this.timer.now() + limitMs;
    while (!condition() && this.timer.now() < end) await this.timer.advance(stepMs);
    return condition();
  }

  /** The instance that owns an id if `among` are the entries. */
  owner(kind: string, id: string, among = [...this.entries.keys()]): string {
    const incarnations = among.map((name) => this.entries.get(name)!.incarnation);
    const owner = ownerOf(jobKey('booking', kind, id), incarnations);
    return among[incarnations.indexOf(owner!)]!;
  }

  /** The newest view that an entry knows. */
  view(instance: string): View {
    return this.entries.get(instance)!.entry.views.current;
  }

  /** Has a caller submit in the background until it has a final answer. */
  async call(call: SimulatedCall): Promise<void> {
    this.openCalls += 1;
    const names = [...this.entries.keys()];
    const first = names.indexOf(call.via);
    let finalUnknowns = 0;
    for (let n = 0; ; n += 1) {
      const answer = await this.callOnce(call, names[(first + n) % names.length]!);
      finalUnknowns =
        answer.outcome === 'unknown' && answer.retryAfterMs === 0 ? finalUnknowns + 1 : 0;
      if (call.once || FINAL_OUTCOMES.has(answer.outcome) || finalUnknowns > 1) break;
      await this.timer.sleep(answer.retryAfterMs || RETRY_MS);
    }
    this.openCalls -= 1;
  }

  /** The configuration version in effect at each process, as `e1 2, s1 2`. */
  versions(): string {
    const entries = [...this.entries].map(
      ([name, { entry }]) => `${name} ${entry.configurations.number}`,
    );
    const sidecars = [...this.sidecars].map(
      ([name, { sidecar }]) => `${name} ${sidecar.configurationVersion}`,
    );
    return [...entries, ...sidecars].join(', ');
  }

  /** Kills all processes. */
  stop(): void {
    [...this.entries.values(), ...this.sidecars.values()].forEach(({ process }) => process.kill());
  }

  private async callOnce(
    call: SimulatedCall,
    via: string,
  ): Promise<Extract<SimulationEvent, { kind: 'answered' }>> {
    const { timer, events } = this;
    this.callCount += 1;
    const { id, idempotent = false } = call;
    const expected = call.tasks.map((_, index) => `${id}/${index}`);
    const common = { id, call: this.callCount };
    events.push({ kind: 'called', at: timer.now(), ...common, expected, idempotent });
    const gone = new AbortController();
    const answer = await Promise.race([
      this.answerFrom(call, this.entries.get(via)!, gone.signal),
      timer.sleep(CONNECTION_TIMEOUT_MS).then(() => LOST),
    ]);
    gone.abort();
    const answered = { kind: 'answered', at: timer.now(), ...common, ...answer } as const;
    events.push(answered);
    return answered;
  }

  private async answerFrom(call: SimulatedCall, run: EntryProcess, gone: AbortSignal) {
    const { process, entry, stop } = run;
    if (!process.isAlive || stop.signal.aborted || !entry.isReady) return LOST;
    const submission = this.submissionOf(call);
    const submitted = process
      .deliver(Promise.resolve())
      .then(() => process.deliver(entry.submit({ submission, keyed: true }, gone)));
    const answer = await Promise.race([submitted, process.death]);
    if (!answer) return LOST;
    const outputs = answer.results.map(({ output }) => Buffer.from(output).toString());
    const outcome = Outcome[answer.outcome].toLowerCase().replace('_', '-');
    return { outcome, outputs, retryAfterMs: answer.retryAfterMs };
  }

  private submissionOf({ id, kind, tasks, idempotent = false, action = 'submit' }: SimulatedCall) {
    const inputs = tasks.map((ms, index) => Buffer.from(JSON.stringify({ id, index, ms })));
    return create(SubmissionSchema, {
      action: action === 'cancel' ? Action.CANCEL : Action.SUBMIT,
      ...{ service: 'booking', kind, id, team: 'default', idempotent, inputs },
      createdMs: this.createdMsOf(id),
      digest: digestOf(inputs),
      waitMs: ANSWER_WAIT_MS,
    });
  }

  /** The creation time of an id: every submission carries the time of the first one. */
  private createdMsOf(id: string): bigint {
    const first = this.events.find((event) => event.kind === 'called' && event.id === id);
    return BigInt(this.timer.wall() - Math.floor(this.timer.now()) + Math.floor(first!.at));
  }

  private announcePeriodically(
    instance: string,
    run: SidecarProcess,
    backend: SimulatedBackend,
  ): void {
    const address = `127.0.0.1:${instance.slice(1)}`;
    const announcement = { service: 'booking', address, slots: this.slots, connections: 64 };
    const announcements = this.timer.every(RENEW_MS, () => announce());
    const announce = async () => {
      if (!run.process.isAlive) announcements.cancel();
      await run.process.deliver(Promise.resolve());
      if (backend.isAlive) run.sidecar.announce(announcement);
    };
    announce().catch(never);
  }

  /** Restarts a process that ended by itself, as the platform does. */
  private handleProcessEnd(instance: string, run: EntryProcess | SidecarProcess): void {
    const current = this.entries.get(instance) ?? this.sidecars.get(instance);
    if (current !== run || !run.process.isAlive) return;
    this.kill(instance);
    this.timer.after(RENEW_MS, () => this.restart(instance));
  }

  private processOf(instance: string): SimulatedProcess {
    return (this.entries.get(instance) ?? this.sidecars.get(instance))!.process;
  }
}

const LOST = { outcome: 'lost', outputs: [] as string[], retryAfterMs: 0 };

const HEARTBEAT = { intervalMs: 1000, suspectMs: 3000, closeMs: 10_000 };

const MANIFEST: Manifest = {
  services: [
    {
      ...{ name: 'booking', maxTasks: 320, maxTaskBytes: 65_536, maxOutputBytes: 65_536 },
      ...{ timeoutMs: 10_000, jobTimeoutMs: 30_000, retentionMs: 600_000, retryBudget: 0.1 },
      ...{ idempotent: false, queue: { maxTasks: 1000 } },
      eject: {
        failureShare: 0.5,
        minTasks: 20,
        windowMs: 10_000,
        probationMs: 5000,
        maxShare: 0.3,
      },
    },
  ],
  teams: [],
  system: { defaultTeam: 'default' },
};

function settingsOf(instance: string) {
  const address = addressOf(instance);
  return {
    role: 'entry' as const,
    ...{ cluster: 'test', instance, zone: 'z1', advertise: address, peers: PEERS },
    listen: { callers: '127.0.0.1:0', peers: address, operators: '127.0.0.1:0' },
    store: { address: '127.0.0.1:1', leaseMs: 5000, timeoutMs: 2000, callsPerSecond: 20 },
    limits: {
      ...{ bodyBytes: 1_000_000, headerBytes: 16_384, bodyTimeoutMs: 10_000 },
      ...{
        headerTimeoutMs: 5000,
        connections: 100,
        openBodyBytes: 10_000_000,
        recordBytes: 10_000_000,
      },
    },
    heartbeat: HEARTBEAT,
    recovery: { witnessMs: 3000, clockSkewMs: CLOCK_SKEW_MS },
    dispatch: { policy: 'credits' as const },
    log: { level: 'info' as const },
    traces: { sample: 0, output: '' as const, otlp: '' },
    stop: { drainMs: 30_000 },
  };
}

const PEERS = ['e1', 'e2', 'e3'].map(addressOf);

function addressOf(instance: string): string {
  return `10.0.0.${instance.slice(1)}:8081`;
}

/** The store as a process sees it: answers are delayed while the process is paused. */
function pausable(store: Store, process: SimulatedProcess): Store {
  return new Proxy(store, {
    get(target, name) {
      const method = Reflect.get(target, name) as unknown;
      if (typeof method !== 'function') return method;
      return (...args: unknown[]) =>
        new ResultAsync(
          process.deliver((method as (...a: unknown[]) => PromiseLike<never>).apply(target, args)),
        );
    },
  });
}
