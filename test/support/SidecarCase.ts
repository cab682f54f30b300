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
  /** Names of the entries that listen, one letter each. */
  readonly listening?: string;
  /** Names of the members of view 1, one letter each. */
  readonly members?: string;
  /** Slots that the backend server announces. */
  readonly slots?: number;
}

/** Test fixture: a sidecar with an announced backend server, linked to entries that the test controls. */
export default class SidecarCase {
  /** Aborting it shuts the sidecar down. */
  readonly shutdown = new AbortController();

  /** Whether the sidecar has stopped running. */
  hasStopped = false;

  private constructor(
    readonly timer: ManualTimer,
    readonly network: MemoryNetwork,
    readonly backend: FakeBackend,
    readonly sidecar: Sidecar,
    readonly entries: Record<string, FakeEntry>,
    private readonly slots: number,
  ) {}

  /** Starts the entries and the sidecar and announces the backend server. */
  static async open(options: SidecarCaseOptions = {}): Promise<SidecarCase> {
    const { listening = 'ab', members = listening, slots = 4, ...opts } = options;
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

  /** Creates a view with one member per letter. */
  static view(number: number, members: string): View {
    return create(ViewSchema, {
      number: BigInt(number),
      members: [...members].map((name) => ({
        ...{ instance: name, incarnation: name, zone: 'z1' },
        address: `10.0.0.1:${name.charCodeAt(0)}`,
      })),
    });
  }

  /** The entry with this name. */
  entry(name: string): FakeEntry {
    return this.entries[name]!;
  }

  /** Announces or renews the backend server. */
  announce(): void {
    const backend = { service: 'booking', address: '127.0.0.1:1', connections: 64 };
    this.sidecar.announce({ ...backend, slots: this.slots });
  }

  /** Starts another entry, which sends the view, if given, on each link. */
  async listen(name: string, view?: View): Promise<void> {
    this.entries[name] = await FakeEntry.listen(this.network.endpoint(name), name, view);
  }

  /** Advances the time by milliseconds. */
  async advance(ms: number): Promise<void> {
    await this.timer.advance(ms);
  }

  /** Messages that all entries, or the one named, received since the last call, one per line. */
  receivedMessages(only?: string): string {
    return Object.entries(this.entries)
      .flatMap(([name, entry]) => entry.takeReceived().map((line) => `${name}: ${line}`))
      .filter((line) => only === undefined || line.startsWith(`${only}:`))
      .join('\n');
  }

  private async run(): Promise<void> {
    const stopped = this.sidecar.run(this.shutdown.signal);
    stopped.then(
      () => {
        this.hasStopped = true;
      },
      () => undefined,
    );
    this.announce();
    await this.advance(1);
  }
}
