import { create } from '@bufbuild/protobuf';
import Random from '../../src/core/Random';
import Versioned from '../../src/core/Versioned';
import {
  ConfigurationSchema,
  MemberSchema,
  ViewSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import Membership from '../../src/membership/Membership';
import StoreWatch from '../../src/membership/StoreWatch';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import ManualTimer from './ManualTimer';

/** Entries with their memberships and store watches, on one in-memory store. */
export default class MembershipCase {
  static readonly leaseMs = 9_000;

  readonly timer = ManualTimer.create();

  readonly engine = SimulatedStoreEngine.create(this.timer);

  /** Incarnations that the failure detector of every entry suspects. */
  readonly suspected = new Set<string>();

  /** Starts an entry; its incarnation is also the name of its store client. */
  start(incarnation: string, instance = incarnation) {
    const { timer, engine, suspected } = this;
    const store = engine.client(incarnation);
    const random = Random.fromSeed([...incarnation].reduce((sum, c) => sum + c.charCodeAt(0), 0));
    const views = Versioned.of(create(ViewSchema), ({ number }) => number);
    const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
    const membership = Membership.create({
      store,
      timer,
      random,
      self: create(MemberSchema, { instance, incarnation }),
      views,
      isSuspected: (other) => suspected.has(other),
      retentionMs: () => 600_000,
      leaseMs: MembershipCase.leaseMs,
    });
    const onLiveIncarnations = (incarnations: ReadonlySet<string>): void =>
      membership.setLiveIncarnations(incarnations);
    const watch = StoreWatch.create({
      store,
      timer,
      random,
      views,
      configurations,
      onLiveIncarnations,
    });
    const stop = new AbortController();
    watch.run(stop.signal).catch(() => undefined);
    const ended = membership.run(stop.signal);
    return { membership, views, configurations, watch, ended, stop: () => stop.abort() };
  }

  /** Starts several entries at once and waits until they have joined. */
  async startAll(...incarnations: string[]) {
    const entries = incarnations.map((incarnation) => this.start(incarnation));
    await this.timer.advance(5_000);
    return entries;
  }

  /** Isolates an entry from the store for longer than its lease; the isolation stays. */
  async expireLease(incarnation: string): Promise<void> {
    this.engine.setFaults({ down: true }, incarnation);
    await this.timer.advance(MembershipCase.leaseMs + 5_000);
  }

  /** Counts the store calls of all entries during the given time, by kind. */
  async countCallsDuring(ms: number): Promise<string> {
    const before = this.totals();
    await this.timer.advance(ms);
    const kinds = Object.entries(this.totals());
    const made = kinds.map(([kind, count]) => `${kind} ${count - (before[kind] ?? 0)}`);
    return made
      .filter((text) => !text.endsWith(' 0'))
      .sort()
      .join(', ');
  }

  private totals(): Record<string, number> {
    const counts = Object.values(this.engine.calls()).flatMap((calls) => Object.entries(calls));
    const totals: Record<string, number> = {};
    counts.forEach(([kind, count]) => {
      totals[kind] = (totals[kind] ?? 0) + count;
    });
    return totals;
  }
}
