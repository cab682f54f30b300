import { create } from '@bufbuild/protobuf';
import type Random from '../../src/core/Random';
import Versioned from '../../src/core/Versioned';
import {
  ConfigurationSchema,
  MemberSchema,
  type View,
  ViewSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import Membership from '../../src/membership/Membership';
import StoreWatch from '../../src/membership/StoreWatch';
import type ManualTimer from '../../test/support/ManualTimer';
import type SimulatedStoreEngine from '../platform/SimulatedStoreEngine';
import type removalPolicies from './removalPolicies';

/** One incarnation of an entry's membership; the simulation controls its pauses and its death. */
export default class SimulatedEntry {
  /** Simulated time until which the entry is paused, in milliseconds. */
  pausedUntil = 0;

  dead = false;

  /** Why the membership has ended; undefined while it hasn't. */
  endReason: 'stopped' | 'removed' | undefined;

  readonly views = Versioned.of<View>(create(ViewSchema), ({ number }) => number);

  private readonly stop = new AbortController();

  private constructor(
    readonly instance: string,
    readonly incarnation: string,
    readonly region: number,
  ) {}

  /** Starts an entry that joins and maintains its membership under the policy. */
  static start(
    names: { readonly instance: string; readonly incarnation: string; readonly region: number },
    parts: {
      readonly timer: ManualTimer;
      readonly engine: SimulatedStoreEngine;
      readonly random: Random;
      readonly policy: (typeof removalPolicies)[number];
      readonly leaseMs: number;
      readonly isSilent: (from: SimulatedEntry, incarnation: string) => boolean;
    },
  ): SimulatedEntry {
    const { timer, random, policy, leaseMs } = parts;
    const entry = new SimulatedEntry(names.instance, names.incarnation, names.region);
    const store = parts.engine.client(names.incarnation);
    const membership = Membership.create({
      ...{ timer, random, leaseMs, views: entry.views },
      store: policy.storeOf(store),
      self: create(MemberSchema, { instance: names.instance, incarnation: names.incarnation }),
      isSuspected: (other) => !policy.needsSilence || parts.isSilent(entry, other),
      retentionMs: () => 600_000,
    });
    const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
    const watch = StoreWatch.create({
      ...{ store, timer, random, views: entry.views, configurations },
      onLiveIncarnations: (present) =>
        membership.setLiveIncarnations(policy.seesLeases ? present : new Set()),
    });
    watch.run(entry.stop.signal).catch(() => undefined);
    membership.run(entry.stop.signal).then((ended) => {
      entry.endReason = ended;
    });
    return entry;
  }

  /** Ends the entry abruptly. */
  kill(): void {
    this.dead = true;
    this.stop.abort();
  }

  /** Whether the entry can work at the given time. */
  isUp(now: number): boolean {
    return !this.dead && this.endReason === undefined && now >= this.pausedUntil;
  }
}
