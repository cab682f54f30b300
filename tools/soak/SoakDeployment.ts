import { writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import path from 'node:path';
import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import Processes from '../harness/Processes';
import TcpProxy from '../harness/TcpProxy';
import SimulatedStoreEngine from '../platform/SimulatedStoreEngine';
import type StoreFaults from '../platform/StoreFaults';
import PlatformServer from '../platform/PlatformServer';
import BackendServer from './BackendServer';
import type Checker from './Checker';
import type EntryConnection from './EntryConnection';
import kvRoutes from './kvRoutes';

interface SoakDeploymentOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly checker: Checker;
  readonly entries: number;
  readonly sidecars: number;
  /** Folder of the bundles of both roles. */
  readonly bundles: string;
  /** Folder that settings files are written to. */
  readonly folder: string;
}

/** How a process is started. */
interface ProcessSpec {
  readonly role: 'entry' | 'sidecar';
  readonly ip: string;
  /** Path of its settings file. */
  readonly settings: string;
}

/** Everything that runs in a soak: the processes of magnoliakeel, and the simulated services and proxies around them. */
export default class SoakDeployment {
  /** Addresses at which entries accept callers, by entry name. */
  readonly callerAddresses = new Map<string, string>();

  /** Proxies in front of the entries' peer addresses, by entry name. */
  readonly peerProxies = new Map<string, TcpProxy>();

  /** Proxies between the processes and the store, by process name. */
  readonly storeProxies = new Map<string, TcpProxy>();

  /** Backend servers, by the name of their sidecar. */
  readonly backends = new Map<string, BackendServer>();

  /** Log of the run: faults and the output of all processes, each line with its time. */
  readonly logLines: string[] = [];

  /** The connections of all callers. */
  readonly connections = new Set<EntryConnection>();

  readonly processes: Processes;

  /** Number of active faults that flood the entries with large configurations. */
  activeFloods = 0;

  private readonly processSpecs = new Map<string, ProcessSpec>();

  /** Processes that were requested to end, with the pause until they start again, ms. */
  private readonly ending = new Map<string, number>();

  private readonly storeFaults = new Set<StoreFaults>();

  private readonly engine: SimulatedStoreEngine;

  private readonly store: PlatformServer;

  private isClosing = false;

  /** The version of the newest configuration. */
  version = 0;

  private constructor(
    private readonly opts: SoakDeploymentOptions,
    private readonly network: string,
  ) {
    this.engine = SimulatedStoreEngine.create(opts.timer);
    this.store = PlatformServer.of(this.engine, kvRoutes);
    this.processes = Processes.create({
      printed: (name, line) => {
        this.logLine(`${name} ${line}`);
        opts.checker.checkLine(name, line);
      },
      exited: (name, code, signal) => this.handleExit(name, code, signal),
    });
  }

  /** Starts everything; resolves once all entries have a configuration. */
  static async start(opts: SoakDeploymentOptions): Promise<SoakDeployment> {
    const deployment = new SoakDeployment(opts, await reserveNetwork());
    const store = await deployment.store.listen(`${deployment.network}.5.1`, PORT);
    deployment.configure();
    for (let number = 1; number <= opts.entries; number += 1)
      await deployment.addEntry(number, store);
    await deployment.waitForOutput(deployment.entries, /a configuration is in force/);
    for (let number = 1; number <= opts.sidecars; number += 1) {
      await deployment.addSidecar(number, store);
      if (number % START_GROUP === 0)
        await deployment.waitForOutput(deployment.sidecars, /has started/);
    }
    return deployment;
  }

  /** Names of the entries. */
  get entries(): string[] {
    return [...this.callerAddresses.keys()];
  }

  /** Names of the sidecars. */
  get sidecars(): string[] {
    return [...this.backends.keys()];
  }

  /** IP address from which a process dials. */
  ipOf(name: string): string {
    return this.processSpecs.get(name)!.ip;
  }

  /** Adds a line to the log of the run. */
  logLine(text: string): void {
    this.logLines.push(`${Math.round(this.opts.timer.now())} ${text}`);
  }

  /** Ends a process with a signal; it starts again after the pause, ms. */
  stopProcess(name: string, signal: 'SIGTERM' | 'SIGKILL', pauseMs: number): void {
    const { checker, timer } = this.opts;
    if (!this.processes.names.includes(name)) return;
    checker.processDisturbed(name, signal === 'SIGTERM' ? 'stop' : 'hard');
    const isFirst = !this.ending.has(name);
    this.ending.set(name, pauseMs);
    const pid = this.processes.pid(name);
    this.processes.signal(name, signal);
    if (signal === 'SIGKILL' || !isFirst) return;
    timer.after(GRACE_MS, () => {
      if (this.processes.names.includes(name) && this.processes.pid(name) === pid) {
        this.logLine(`${name} did not end within its grace period`);
        this.stopProcess(name, 'SIGKILL', pauseMs);
      }
    });
  }

  /** Applies faults of the store for all processes; the function returned ends them. */
  addStoreFaults(faults: StoreFaults): () => void {
    const update = (): void => this.engine.setFaults(Object.assign({}, ...this.storeFaults));
    this.storeFaults.add(faults);
    update();
    return () => {
      this.storeFaults.delete(faults);
      update();
    };
  }

  /** Changes the configuration repeatedly until the signal aborts, with fast and large changes during a flood. */
  async changeConfiguration(stop: AbortSignal): Promise<void> {
    const { timer, random } = this.opts;
    let pauseMs = CONFIGURATION_PAUSES_MS[0]!;
    while (!stop.aborted) {
      if (random.below(20) === 0)
        pauseMs = CONFIGURATION_PAUSES_MS[random.below(CONFIGURATION_PAUSES_MS.length)]!;
      await timer.sleep(this.activeFloods > 0 ? CONFIGURATION_PAUSES_MS[0]! : pauseMs, stop);
      const step = 1 + random.below(3);
      const isLarge = this.activeFloods > 0 || random.below(10) === 0;
      this.configure(step, isLarge ? MANY_ROUTES : FEW_ROUTES);
    }
  }

  /** Silences all open connections of the processes to each other and to the store for good; new ones work. */
  silenceConnections(): void {
    this.logLine('all open connections of the processes go silent');
    [...this.peerProxies.values(), ...this.storeProxies.values()].forEach((proxy) =>
      proxy.freeze(),
    );
  }

  /** Resolves once every process runs and none is about to end, or at the time limit. */
  async waitUntilRunning(limitMs: number): Promise<void> {
    const { timer } = this.opts;
    const until = timer.now() + limitMs;
    while (timer.now() < until && !this.areAllRunning) await timer.sleep(50);
  }

  /** Stops everything. */
  async close(): Promise<void> {
    this.isClosing = true;
    this.processes.names.forEach((name) => this.processes.signal(name, 'SIGCONT'));
    await this.processes.stopAll(GRACE_MS);
    [...this.peerProxies.values(), ...this.storeProxies.values()].forEach((proxy) => proxy.close());
    this.backends.forEach((backend) => backend.close());
    await this.store.close();
  }

  private async waitForOutput(names: readonly string[], pattern: RegExp): Promise<void> {
    await Promise.all(names.map((name) => this.processes.waitFor(name, pattern, START_MS)));
  }

  private get areAllRunning(): boolean {
    return this.ending.size === 0 && this.processes.names.length === this.processSpecs.size;
  }

  private async addEntry(number: number, store: string): Promise<void> {
    const name = `entry-${number}`;
    const ip = `${this.network}.2.${number}`;
    const advertised = `${this.network}.1.${number}:${PEER_PORT}`;
    const { timer } = this.opts;
    this.peerProxies.set(name, await TcpProxy.to(`${ip}:${PEER_PORT}`, advertised, timer));
    this.callerAddresses.set(name, `${ip}:${PORT}`);
    await this.add(name, 'entry', ip, store, {
      listen: {
        ...{ callers: `${ip}:${PORT}`, readiness: `${ip}:${PORT + 1}` },
        ...{ peers: advertised, metrics: `${ip}:${PORT + 2}` },
      },
    });
  }

  private async addSidecar(number: number, store: string): Promise<void> {
    const { timer, checker } = this.opts;
    const name = `sidecar-${number}`;
    const ip = `${this.network}.3.${number}`;
    const control = `${ip}:${PORT}`;
    await this.add(name, 'sidecar', ip, store, {
      ...{ listen: { backend: control, metrics: `${ip}:${PORT + 1}` }, peerPort: PEER_PORT },
    });
    const address = `${this.network}.4.${number}:${PORT}`;
    const logLine = (text: string): void => this.logLine(text);
    const options = { timer, checker, name: `backend-${number}`, address, control, logLine };
    this.backends.set(
      name,
      BackendServer.start({ ...options, reportsStartTime: number % 2 === 1 }),
    );
  }

  private async add(
    name: string,
    role: ProcessSpec['role'],
    ip: string,
    store: string,
    own: object,
  ): Promise<void> {
    const number = this.processSpecs.size + 1;
    const proxy = await TcpProxy.to(store, `${this.network}.6.${number}:${PORT}`, this.opts.timer);
    this.storeProxies.set(name, proxy);
    const seeds = [...Array(this.opts.entries).keys()].map(
      (index) => `${this.network}.1.${index + 1}`,
    );
    const file = path.join(this.opts.folder, `${name}.json`);
    const common = { cluster: 'soak', instance: name, zone: 'z1', seeds };
    writeFileSync(file, JSON.stringify({ ...common, store: { address: proxy.address }, ...own }));
    this.processSpecs.set(name, { role, ip, settings: file });
    this.launch(name);
  }

  private launch(name: string): void {
    const { role, ip, settings } = this.processSpecs.get(name)!;
    this.opts.checker.processStarted(name);
    this.logLine(`${name} is started`);
    const program = path.join(this.opts.bundles, `${role}.cjs`);
    this.processes.spawn(name, ['--import', path.resolve('tools/soak/divert.mjs'), program], {
      ...{ MAGNOLIAKEEL_NODE_FILE: settings, SOAK_SELF: ip },
      ...{ SOAK_TOLD: `${this.network}.1.`, SOAK_REAL: `${this.network}.2.` },
    });
  }

  private handleExit(name: string, code: number | null, signal: NodeJS.Signals | null): void {
    const { checker, timer } = this.opts;
    const how = `with ${signal ?? `code ${code}`}`;
    this.logLine(`${name} has ended ${how}`);
    if (this.isClosing) return;
    // A process that is still starting holds no state, so SIGTERM may end it at once.
    const hasStarted = this.processes.output(name).some((line) => line.includes('has started'));
    const isExpectedExit =
      code === 0 || signal === 'SIGKILL' || (signal === 'SIGTERM' && !hasStarted);
    const wasAsked = this.ending.has(name) && isExpectedExit;
    checker.processExited(name, how, wasAsked);
    timer.after(this.ending.get(name) ?? DEFAULT_RESTART_PAUSE_MS, () => {
      this.ending.delete(name);
      if (this.isClosing) return;
      this.launch(name);
      checker.processRecovered(name);
    });
  }

  /** Has the operator write a configuration whose version is higher by `step`. */
  configure(step = 1, routes = FEW_ROUTES): void {
    this.version += step;
    const { version } = this;
    const names = ['jobs', ...[...Array(routes).keys()].map((number) => `unused-${number}`)];
    const value = {
      version,
      routes: names.map((name) => ({
        ...{ name, host: 'soak.example', prefix: `/${name}/`, service: 'soak', timeout_ms: 10_000 },
        ...{ priority: 0, max_attempts: 2, stretch_factor: 1, target_latency_ms: 500 },
      })),
      limits: { idle_timeout_ms: 60_000 },
    };
    this.engine.put('op/config', JSON.stringify(value)).mapErr(({ reason }) => {
      this.opts.checker.report('the soak failed', reason);
    });
  }
}

/** Reserves, for this process's lifetime, the first loopback network "127.N" that no other soak uses. */
async function reserveNetwork(): Promise<string> {
  for (let number = FIRST_NET; number < 255; number += 1) {
    const isFree = await new Promise<boolean>((resolve) => {
      const lock = createServer();
      lock.once('error', () => resolve(false));
      lock.listen(PORT, `127.${number}.0.1`, () => resolve(true));
      lock.unref();
    });
    if (isFree) return `127.${number}`;
  }
  throw new Error('all loopback networks are in use');
}

/** N of the first loopback network "127.N" to try. */
const FIRST_NET = 10;

/** Ports below the system's ephemeral range. */
const PORT = 18_080;

const PEER_PORT = 17_100;

/** A process that is shutting down is killed after this time, ms: its grace period of 6 s, and a second. */
const GRACE_MS = 7_000;

/** Number of sidecars started at once, since this process reads the output of all and serves the store. */
const START_GROUP = 12;

/** Time limit for the start of a process, ms. */
const START_MS = 30_000;

/** Pause before a process that ended by itself is started again, ms. */
const DEFAULT_RESTART_PAUSE_MS = 500;

/** Possible pauses between changes of the configuration, ms. */
const CONFIGURATION_PAUSES_MS = [60, 250, 1_000];

/** Number of unused routes in a configuration; MANY_ROUTES make it some 70 kB. */
const FEW_ROUTES = 10;

const MANY_ROUTES = 400;
