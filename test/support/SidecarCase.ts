import { create } from '@bufbuild/protobuf';
import Random from '../../src/core/Random';
import { ViewSchema, type View } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Sidecar from '../../src/sidecar/Sidecar';
import SidecarCounters from '../../src/sidecar/SidecarCounters';
import type SidecarOptions from '../../src/sidecar/SidecarOptions';
import FakeBackend from './FakeBackend';
import FakeEntry from './FakeEntry';
import ManualTimer from './ManualTimer';
import MemoryNetwork from './MemoryNetwork';

interface SidecarCaseOptions extends Partial<SidecarOptions> {
  /** Names of the entries that listen, a letter each. */
  readonly listening?: string;
  /** Names of the members of view 1. */
  readonly members?: string;
  readonly slots?: number;
}

/** A sidecar with its backend server announced and linked to entries that a test plays. */
export default class SidecarCase {
  readonly shutdown = new AbortController();

  hasStopped = false;

  private constructor(
    readonly timer: ManualTimer,
    readonly network: MemoryNetwork,
    readonly backend: FakeBackend,
    readonly sidecar: Sidecar,
    readonly entries: Record<string, FakeEntry>,
    private readonly slots: number,
  ) {}

  static async open(init: SidecarCaseOptions = {}): Promise<SidecarCase> {
    const { listening = 'ab', members = listening, slots = 4, ...opts } = init;
    const timer = ManualTimer.create();
    const network = MemoryNetwork.create(timer);
    const entries: Record<string, FakeEntry> = {};
    for (const name of listening) {
      const view = SidecarCase.view(1, members);
      entries[name] = await FakeEntry.listen(network.endpoint(name), name, view);
    }
    const backend = FakeBackend.create(timer);
    const sidecar = Sidecar.create({
      ...{ timer, random: Random.fromSeed(1), network: network.endpoint('s'), client: backend },
      ...{ counters: SidecarCounters.create(), cluster: 'test', instance: 's', incarnation: 's1' },
      ...{ zone: 'z1', links: 3, ledgerBytes: 1_000_000, skewMs: 1000, renewMs: 1000 },
      entries: Object.values(entries).map((entry) => entry.address),
      heartbeat: { intervalMs: 1000, suspectMs: 3000, closeMs: 5000 },
      drainMs: 2000,
      ...opts,
    });
    const sidecarCase = new SidecarCase(timer, network, backend, sidecar, entries, slots);
    await sidecarCase.run();
    return sidecarCase;
  }

  /** A view with an entry for each letter. */
  static view(number: number, members: string): View {
    return create(ViewSchema, {
      number: BigInt(number),
      members: [...members].map((name) => ({
        ...{ instance: name, incarnation: name, zone: 'z1' },
        address: `10.0.0.1:${name.charCodeAt(0)}`,
      })),
    });
  }

  entry(name: string): FakeEntry {
    return this.entries[name]!;
  }

  /** Announces or renews the backend server. */
  announce(): void {
    const backend = { service: 'booking', address: '127.0.0.1:1', connections: 64 };
    this.sidecar.announce({ ...backend, slots: this.slots });
  }

  /** Has another entry listen from now on. */
  async listen(name: string, view?: View): Promise<void> {
    this.entries[name] = await FakeEntry.listen(this.network.endpoint(name), name, view);
  }

  /** Moves the time. */
  async advance(ms: number): Promise<void> {
    await this.timer.advance(ms);
  }

  /** What the entries, all or the one named, heard since the last call, a line each. */
  receivedMessages(only?: string): string {
    return Object.entries(this.entries)
      .flatMap(([name, entry]) => entry.takeReceived().map((line) => `${name}: ${line}`))
      .filter((line) => only === undefined || line.startsWith(`${only}:`))
      .join('\n');
  }

  private async run(): Promise<void> {
    const done = this.sidecar.run(this.shutdown.signal);
    done.then(
      () => {
        this.hasStopped = true;
      },
      () => undefined,
    );
    this.announce();
    await this.advance(1);
  }
}
