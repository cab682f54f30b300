import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import type StandInFaults from '../backend/StandInFaults';
import type ClusterSize from './ClusterSize';
import type ProcessWatch from './ProcessWatch';
import Processes from './Processes';

/** What differs from a plain cluster: settings by role, and who is told of processes and starts. */
interface Overrides {
  readonly entry?: object;
  readonly sidecar?: object;
  readonly watch?: ProcessWatch;
  /** Address that backend servers report each start to before they run it, "ip:port". */
  readonly recorder?: string;
  /** The program that daemons are run from, when it is not the daemon as it ships. */
  readonly program?: string;
}

/**
 * A whole system on this machine: the platform stand-in, entries, sidecars and
 * backend server stand-ins, each a process of its own on loopback.
 */
export default class Cluster {
  readonly processes: Processes;

  private platformAddress = '';

  private readonly callers = new Map<string, string>();

  private readonly peers = new Map<string, string>();

  private readonly operators = new Map<string, string>();

  private readonly backends = new Map<string, string>();

  /** Where the sidecars take announcements; kept over restarts. */
  private readonly desks = new Map<string, string>();

  private constructor(
    readonly size: ClusterSize,
    private readonly folder: string,
    private readonly overrides: Overrides,
  ) {
    this.processes = Processes.create(overrides.watch);
  }

  /** Starts all processes and waits until every backend server has its sidecar linked. */
  static async start(
    size: ClusterSize,
    manifest: object,
    overrides: Overrides = {},
  ): Promise<Cluster> {
    const folder = await mkdtemp(path.join(tmpdir(), 'magnoliakeel-'));
    const cluster = new Cluster(size, folder, overrides);
    await cluster.startPlatform(manifest);
    await Promise.all(names('entry', size.entries).map((name) => cluster.startEntry(name)));
    await Promise.all(names('sidecar', size.backends).map((name) => cluster.startBackend(name)));
    return cluster;
  }

  /** Address of the platform stand-in, "ip:port". */
  get platform(): string {
    return this.platformAddress;
  }

  /** Names of the entries that were started. */
  get entryNames(): string[] {
    return [...this.callers.keys()];
  }

  /** Names of the backend servers that were started. */
  get backendNames(): string[] {
    return [...this.backends.keys()];
  }

  /** Base address for callers of an entry. */
  callersOf(entry: string): string {
    return `http://${this.callers.get(entry)}`;
  }

  /** Operators' address of an entry or a sidecar, "ip:port". */
  operatorsOf(name: string): string {
    return this.operators.get(name)!;
  }

  /** Base address of a backend server stand-in. */
  backendAddress(backend: string): string {
    return `http://${this.backends.get(backend)}`;
  }

  /** Starts an entry, for the first time or again. */
  async startEntry(name: string): Promise<void> {
    const settings = {
      ...{ role: 'entry', cluster: 'local', instance: name, zone: this.zoneOf(name) },
      listen: { callers: ANY, peers: ANY, operators: ANY },
      store: { address: this.platformAddress },
      ...this.overrides.entry,
    };
    await this.startDaemon(name, settings);
    const line = await this.processes.waitFor(name, /on (\S+, for peers on [\d.:]+)/);
    const [callers, peers] = line.split(', for peers on ');
    this.callers.set(name, callers!);
    this.peers.set(name, peers!);
  }

  /** Starts a sidecar and its backend server. */
  async startBackend(sidecar: string): Promise<void> {
    await this.startSidecar(sidecar);
    await this.startBackendServer(sidecar.replace('sidecar', 'backend'));
    await this.processes.waitFor(sidecar, /offers/);
  }

  /** Starts a sidecar, for the first time or again at the same address for its backend server. */
  async startSidecar(name: string): Promise<void> {
    const backend = this.desks.get(name) ?? ANY;
    const settings = {
      ...{ role: 'sidecar', cluster: 'local', instance: name, zone: this.zoneOf(name) },
      listen: { backend, operators: ANY },
      entries: [...this.peers.values()],
      ...this.overrides.sidecar,
    };
    await this.startDaemon(name, settings);
    this.desks.set(name, await this.processes.waitFor(name, /backend server on ([\d.:]+)/));
  }

  /** Starts a backend server beside its sidecar, for the first time or again. */
  async startBackendServer(name: string): Promise<void> {
    const { slots, connections } = this.size;
    const desk = this.desks.get(name.replace('backend', 'sidecar'))!;
    const { recorder } = this.overrides;
    this.processes.start(name, 'backend', [
      ...['--sidecar', desk, '--slots', `${slots}`, '--connections', `${connections}`],
      ...(recorder === undefined ? [] : ['--recorder', recorder, '--name', name]),
    ]);
    const listening = await this.processes.waitFor(name, /listening on ([\d.:]+)/);
    this.backends.set(name, listening);
  }

  /** Tells a backend server stand-in to show faults. */
  async putFaults(backend: string, faults: Partial<StandInFaults>): Promise<void> {
    const { body } = await request(`${this.backendAddress(backend)}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await body.dump();
  }

  /** How often each task was started, over all backend servers. */
  async starts(): Promise<Map<string, number>> {
    const totals = new Map<string, number>();
    await Promise.all(
      this.backendNames.map(async (backend) => {
        const { body } = await request(`${this.backendAddress(backend)}/starts`);
        const counts = (await body.json()) as Record<string, number>;
        Object.entries(counts).forEach(([task, count]) => {
          totals.set(task, (totals.get(task) ?? 0) + count);
        });
      }),
    );
    return totals;
  }

  /** Stops all processes in good order. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    await rm(this.folder, { recursive: true, force: true });
  }

  private async startPlatform(manifest: object): Promise<void> {
    this.processes.start('platform', 'platform', []);
    this.platformAddress = await this.processes.waitFor('platform', /listening on ([\d.:]+)/);
    const value = JSON.stringify({ version: 1, applyId: 'first', manifest });
    await request(`http://${this.platformAddress}/v1/keys/manifest`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ value, expectRevision: 0 }),
    });
  }

  private async startDaemon(name: string, settings: object): Promise<void> {
    const file = path.join(this.folder, `${name}.yaml`);
    await writeFile(file, stringify(settings));
    this.processes.start(name, this.overrides.program ?? 'magnoliakeeld', ['--config', file]);
    this.operators.set(name, await this.processes.waitFor(name, /for operators on ([\d.:]+)/));
  }

  private zoneOf(name: string): string {
    const number = Number(name.split('-')[1]);
    return `zone-${(number % this.size.zones) + 1}`;
  }
}

const ANY = '127.0.0.1:0';

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}-${at + 1}`);
}
