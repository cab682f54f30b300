import Random from '../../src/core/Random';
import type { View } from '../../src/gen/magnoliakeel/v1/peer_pb';
import ManualTimer from '../../test/support/ManualTimer';
import SimulatedStoreEngine from '../platform/SimulatedStoreEngine';
import type MembershipCosts from './MembershipCosts';
import type removalPolicies from './removalPolicies';
import SimulatedEntry from './SimulatedEntry';

const ENTRIES = 6;
const LEASE_MS = 5000;
const SUSPECT_MS = 3000;
const STEP_MS = 500;
const RESTART_DELAY_MS = 3000;
const REPLACEMENT_DELAY_MS = 30_000;
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DURATION_MS = 20 * MINUTE_MS;
const PAUSES_PER_HOUR = 60;
const MEAN_PAUSE_MS = 1500;
const DEATHS_PER_HOUR = 3;

/**
 * Simulates twenty minutes of a few entries with short pauses, some deaths, a
 * network partition into two halves for two minutes, and a store outage of two
 * minutes. The memberships run the real code.
 */
export default class Simulation {
  private readonly timer = ManualTimer.create();

  private readonly engine = SimulatedStoreEngine.create(this.timer);

  private readonly random: Random;

  private entries: SimulatedEntry[] = [];

  /** When an entry last received a message from another, by both incarnations. */
  private readonly lastReceivedAt = new Map<string, number>();

  private readonly unavailableSince = new Map<string, number>();

  private incarnationCount = 0;

  private readonly costs: MembershipCosts = {
    ...{ deaths: 0, pauses: 0, falseRemovals: 0 },
    ...{ unavailableMs: 0, longestMs: 0, storeCalls: 0 },
  };

  private constructor(
    private readonly policy: (typeof removalPolicies)[number],
    seed: number,
  ) {
    this.random = Random.fromSeed(seed);
  }

  /** Creates a run of a policy that is determined by the seed. */
  static of(policy: (typeof removalPolicies)[number], seed: number): Simulation {
    return new Simulation(policy, seed);
  }

  /** Runs the whole simulation and returns its costs. */
  async run(): Promise<MembershipCosts> {
    for (let index = 0; index < ENTRIES; index += 1) this.start(`entry-${index}`, index % 2);
    await this.timer.advance(LEASE_MS);
    while (this.timer.now() < DURATION_MS) {
      this.disrupt();
      this.exchangeHeartbeats();
      this.replaceEnded();
      await this.timer.advance(STEP_MS);
      this.countUnavailable();
    }
    const calls = Object.values(this.engine.calls()).flatMap((counts) => Object.values(counts));
    this.costs.storeCalls = calls.reduce((sum, count) => sum + count, 0);
    return this.costs;
  }

  private start(instance: string, region: number): void {
    this.incarnationCount += 1;
    const names = { instance, incarnation: `${instance}.${this.incarnationCount}`, region };
    const { timer, engine, random, policy } = this;
    const isSilent = (from: SimulatedEntry, incarnation: string) =>
      this.isSilent(from, incarnation);
    const parts = { timer, engine, random, policy, leaseMs: LEASE_MS, isSilent };
    this.entries.push(SimulatedEntry.start(names, parts));
  }

  private isSilent(from: SimulatedEntry, incarnation: string): boolean {
    const last = this.lastReceivedAt.get(pair(from.incarnation, incarnation)) ?? 0;
    return this.timer.now() - last >= SUSPECT_MS;
  }

  private disrupt(): void {
    const now = this.timer.now();
    this.engine.setFaults({ down: isWithin(now, 14, 16) });
    this.alive().forEach((entry) => {
      if (entry.isUp(now) && this.happens(PAUSES_PER_HOUR)) {
        entry.pausedUntil = now - Math.log(1 - this.random.unit()) * MEAN_PAUSE_MS;
        this.costs.pauses += 1;
      }
      this.engine.setFaults({ down: !entry.isUp(now) }, entry.incarnation);
    });
    if (!this.happens(DEATHS_PER_HOUR) || this.alive().length < ENTRIES) return;
    this.alive()[this.random.below(ENTRIES)]!.kill();
    this.costs.deaths += 1;
  }

  private exchangeHeartbeats(): void {
    const now = this.timer.now();
    const isPartitioned = isWithin(now, 8, 10);
    this.alive().forEach((entry) => {
      this.alive().forEach((other) => {
        const isReachable = !isPartitioned || entry.region === other.region;
        const isReceived = entry.isUp(now) && other.isUp(now) && isReachable;
        const name = pair(entry.incarnation, other.incarnation);
        if (isReceived || !this.lastReceivedAt.has(name)) this.lastReceivedAt.set(name, now);
      });
    });
  }

  private replaceEnded(): void {
    const ended = this.entries.filter((entry) => entry.dead || entry.endReason === 'removed');
    this.entries = this.entries.filter((entry) => !ended.includes(entry));
    ended.forEach((entry) => {
      if (!entry.dead) this.costs.falseRemovals += 1;
      const delayMs = entry.dead ? REPLACEMENT_DELAY_MS : RESTART_DELAY_MS;
      this.timer.after(delayMs, () => this.start(entry.instance, entry.region));
    });
  }

  private countUnavailable(): void {
    const view = this.newestView();
    view?.members.forEach(({ incarnation }) => {
      const entry = this.entries.find((candidate) => candidate.incarnation === incarnation);
      if (entry?.isUp(this.timer.now())) {
        this.unavailableSince.delete(incarnation);
        return;
      }
      const since = this.unavailableSince.get(incarnation) ?? this.timer.now() - STEP_MS;
      this.unavailableSince.set(incarnation, since);
      this.costs.unavailableMs += STEP_MS / view.members.length;
      this.costs.longestMs = Math.max(this.costs.longestMs, this.timer.now() - since);
    });
  }

  private newestView(): View | undefined {
    const views = this.alive().map((entry) => entry.views.current);
    return views.reduce<View | undefined>(
      (best, view) => (!best || view.number > best.number ? view : best),
      undefined,
    );
  }

  private alive(): SimulatedEntry[] {
    return this.entries.filter((entry) => !entry.dead && entry.endReason === undefined);
  }

  private happens(perHour: number): boolean {
    return this.random.unit() < (perHour * STEP_MS) / HOUR_MS;
  }
}

function pair(one: string, other: string): string {
  return `${one} ${other}`;
}

function isWithin(now: number, fromMinute: number, toMinute: number): boolean {
  return now > fromMinute * MINUTE_MS && now < toMinute * MINUTE_MS;
}
