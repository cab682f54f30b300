import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import { stringify } from 'yaml';
import type StandInFaults from '../backend/StandInFaults';
import type ClusterSize from './ClusterSize';
import type ProcessWatch from './ProcessWatch';
import Processes from './Processes';

/** Overrides of the default cluster: settings by role, observers of processes and starts, and the daemon's program. */
interface Overrides {
  readonly entry?: object;
  readonly sidecar?: object;
  readonly watch?: ProcessWatch;
  /** Address to which backend servers report each start before they run it, "ip:port". */
  readonly recorder?: string;
  /** The program of `dist` to run as the daemon; magnoliakeeld by default. */
  readonly program?: string;
}

/**
 * A whole system on this machine: the platform stand-in, entries, sidecars and
 * backend server stand-ins, each in its own process and connected over loopback.
 */
export default class Cluster {
  readonly processes: Processes;

  private platformAddress = '';

  private readonly callerAddresses = new Map<string, string>();

  private readonly peerAddresses = new Map<string, string>();

  private readonly operatorAddresses = new Map<string, string>();

  private readonly backendAddresses = new Map<string, string>();

  /** Where each sidecar accepts announcements of its backend server; kept across restarts. */
  private readonly sidecarAddresses = new Map<string, string>();

  private constructor(
    readonly size: ClusterSize,
    private readonly folder: string,
    private readonly overrides: Overrides,
  ) {
    this.processes = Processes.create(overrides.watch);
  }

  /** Starts all processes and waits until every backend server is connected to its sidecar. */
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

  /** Names of all entries ever started. */
  get entryNames(): string[] {
    return [...this.callerAddresses.keys()];
  }

  /** Names of all backend servers ever started. */
  get backendNames(): string[] {
    return [...this.backendAddresses.keys()];
  }

  /** Base URL at which an entry serves callers. */
  callersUrl(entry: string): string {
    return `http://${this.callerAddresses.get(entry)}`;
  }

  /** Address at which an entry or a sidecar serves operators, "ip:port". */
  operatorsAddress(name: string): string {
    return this.operatorAddresses.get(name)!;
  }

  /** Base URL of a backend server stand-in. */
  backendUrl(backend: string): string {
    return `http://${this.backendAddresses.get(backend)}`;
  }

  /** Starts or restarts an entry. */
  async startEntry(name: string): Promise<void> {
    const settings = {
      ...{ role: 'entry', cluster: 'local', instance: name, zone: this.zoneOf(name) },
      listen: { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT },
      store: { address: this.platformAddress },
      ...this.overrides.entry,
    };
    await this.startDaemon(name, settings);
    const line = await this.processes.waitFor(name, /on (\S+, for peers on [\d.:]+)/);
    const [callers, peers] = line.split(', for peers on ');
    this.callerAddresses.set(name, callers!);
    this.peerAddresses.set(name, peers!);
  }

  /** Starts a sidecar and its backend server. */
  async startBackend(sidecar: string): Promise<void> {
    await this.startSidecar(sidecar);
    await this.startBackendServer(sidecar.replace('sidecar', 'backend'));
    await this.processes.waitFor(sidecar, /offers/);
  }

  /** Starts a sidecar, or restarts it with the same address for its backend server. */
  async startSidecar(name: string): Promise<void> {
    const backend = this.sidecarAddresses.get(name) ?? ANY_PORT;
    const settings = {
      ...{ role: 'sidecar', cluster: 'local', instance: name, zone: this.zoneOf(name) },
      listen: { backend, operators: ANY_PORT },
      entries: [...this.peerAddresses.values()],
      ...this.overrides.sidecar,
    };
    await this.startDaemon(name, settings);
    this.sidecarAddresses.set(
      name,
      await this.processes.waitFor(name, /backend server on ([\d.:]+)/),
    );
  }

  /** Starts or restarts the backend server of a running sidecar. */
  async startBackendServer(name: string): Promise<void> {
    const { slots, connections } = this.size;
    const sidecarAddress = this.sidecarAddresses.get(name.replace('backend', 'sidecar'))!;
    const { recorder } = this.overrides;
    this.processes.start(name, 'backend', [
      ...['--sidecar', sidecarAddress, '--slots', `${slots}`, '--connections', `${connections}`],
      ...(recorder === undefined ? [] : ['--recorder', recorder, '--name', name]),
    ]);
    const listening = await this.processes.waitFor(name, /listening on ([\d.:]+)/);
    this.backendAddresses.set(name, listening);
  }

  /** Sets the faults that a backend server stand-in simulates. */
  async putFaults(backend: string, faults: Partial<StandInFaults>): Promise<void> {
    const { body } = await request(`${this.backendUrl(backend)}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
    await body.dump();
  }

  /** Number of starts of each task, summed over all backend servers. */
  async countStarts(): Promise<Map<string, number>> {
    const totals = new Map<string, number>();
    await Promise.all(
      this.backendNames.map(async (backend) => {
        const { body } = await request(`${this.backendUrl(backend)}/starts`);
        const counts = (await body.json()) as Record<string, number>;
        Object.entries(counts).forEach(([task, count]) => {
          totals.set(task, (totals.get(task) ?? 0) + count);
        });
      }),
    );
    return totals;
  }

  /** Stops all processes gracefully. */
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
    this.operatorAddresses.set(
      name,
      await this.processes.waitFor(name, /for operators on ([\d.:]+)/),
    );
  }

  private zoneOf(name: string): string {
    const number = Number(name.split('-')[1]);
    return `zone-${(number % this.size.zones) + 1}`;
  }
}

const ANY_PORT = '127.0.0.1:0';

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}
