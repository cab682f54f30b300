import { create } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import { type Room, RoomSchema } from '../gen/magnoliakeel/v1/peer_pb';
import toAmount from '../room/toAmount';
import type EventLog from '../observe/EventLog';
import quantizedRatio from '../placement/quantizedRatio';
import Resources from '../room/Resources';
import type EntryLink from './EntryLink';
import type CapacityOffers from './CapacityOffers';
import type LocalBackend from './LocalBackend';

/** What an entry was told last, and what it had here then. */
interface Told {
  readonly room: Room;
  readonly held: Resources;
  /** The offer that it was told of. */
  readonly offer: number | undefined;
}

/**
 * Tells the entries what room there is. An entry knows what its own orders take and give back, so a
 * report is only about what the others do: one is sent when what an entry believes is wrong by more than a
 * task or so. An entry that believes in too little room asks for some when it needs it, and gets it by
 * offers; one that believes in too much has an order refused, and believes in none from then on. While
 * entries wait for room, only those hear of it, in their turn. So reports cost little however many
 * entries are linked, and most when nothing waits.
 */
export default class CapacityReports {
  private readonly told = new Map<EntryLink, Told>();

  private offer: Subscription | undefined;

  private isDue = false;

  /** The life of which a speed was told, and which. */
  private speed: { readonly backend: string; readonly times: number | undefined } | undefined;

  private constructor(
    private readonly timer: TimerService,
    private readonly host: LocalBackend,
    private readonly turns: CapacityOffers,
    private readonly owners: () => Iterable<EntryLink>,
    private readonly log: EventLog,
  ) {}

  /** Creates the reports of a sidecar to the owners linked. */
  static create(
    timer: TimerService,
    host: LocalBackend,
    turns: CapacityOffers,
    owners: () => Iterable<EntryLink>,
    log: EventLog,
  ): CapacityReports {
    return new CapacityReports(timer, host, turns, owners, log);
  }

  /** Something has changed: whoever should hear of it is told after this turn. */
  scheduleUpdate(): void {
    if (this.isDue) return;
    this.isDue = true;
    queueMicrotask(() => this.tell());
  }

  /** Forgets an owner whose link has ended. */
  removeEntry(owner: EntryLink): void {
    this.told.delete(owner);
    this.turns.removeEntry(owner);
  }

  /** The owner has ordered something: an offer that it had is used. */
  handleStart(owner: EntryLink): void {
    if (this.told.get(owner)?.room.inTurns) this.handleRefusal(owner);
  }

  /** An order of the owner was refused, after which it believes that there is no room. */
  handleRefusal(owner: EntryLink): void {
    const before = this.told.get(owner);
    if (!before) return;
    const room = { ...before.room, inTurns: true, free: none };
    this.told.set(owner, { room, held: this.host.allocatedTo(owner), offer: undefined });
    this.scheduleUpdate();
  }

  private tell(): void {
    this.isDue = false;
    const room = this.describe();
    const turn = this.turns.assign(Resources.of(room.free ?? {}));
    const withheld = { ...room, inTurns: true, free: none };
    this.forgetLapsed();
    [...this.owners()].forEach((owner) => {
      if (turn === owner) this.tellOffer(owner, { ...room, inTurns: true });
      else if (turn === 'anybody') this.tellOwner(owner, room, isOff);
      else this.tellOwner(owner, withheld, isTooHigh);
    });
    if (this.turns.offerExpiresAt !== undefined) this.awaitOffer(this.turns.offerExpiresAt);
  }

  /** An entry drops an offer that it has not used by itself, and is not told. */
  private forgetLapsed(): void {
    const open = this.turns.offerNumber;
    this.told.forEach(({ room, offer }, owner) => {
      if (offer === undefined || offer === open) return;
      const held = this.host.allocatedTo(owner);
      this.told.set(owner, { room: { ...room, free: none }, held, offer: undefined });
    });
  }

  /** Looks again when an offer passes on. */
  private awaitOffer(untilMs: number): void {
    this.offer?.cancel();
    this.offer = this.timer.after(untilMs - this.timer.now(), () => this.scheduleUpdate());
  }

  private tellOffer(owner: EntryLink, room: Room): void {
    const offer = this.turns.offerNumber;
    const isNew = this.told.get(owner)?.offer !== offer;
    this.tellOwner(owner, room, isNew ? () => true : isOff, offer);
  }

  private tellOwner(owner: EntryLink, room: Room, isWrong: IsWrong, offer?: number): void {
    const held = this.host.allocatedTo(owner);
    const before = this.told.get(owner);
    if (before && !isNews(room, before, held, isWrong)) return;
    const value = create(RoomSchema, { ...room, newestOrder: owner.newestOrder });
    this.told.set(owner, { room: value, held, offer });
    // What has ended is free in this report, and would be counted twice if it were told later.
    owner.flushEnds();
    owner.link.send({ case: 'room', value });
  }

  private describe(): Room {
    const life = this.host.current;
    if (!life) return create(RoomSchema);
    const { id, born, service, capacity, labels } = life.heartbeat;
    const backend = born === undefined ? id : `${id}@${born}`;
    return create(RoomSchema, {
      backend,
      service,
      total: toAmount(capacity),
      free: toAmount(life.free),
      labels: [...labels],
      accepting: this.host.isAccepting,
      slowness: Math.round(stepped(life.health.slowness ?? 0) * THOUSAND),
      failing: life.health.failureRate >= FAILING,
      speed: Math.round((this.speedOf(backend, life.health.durations.ratio) ?? 0) * THOUSAND),
    });
  }

  private speedOf(backend: string, known: number | undefined): number | undefined {
    const told = this.speed?.backend === backend ? this.speed.times : undefined;
    const times = quantizedRatio(told, known);
    if (times !== told) this.log.info('the speed of the backend server is told', { times, told });
    this.speed = { backend, times };
    return times;
  }
}

const none = toAmount(Resources.none);

/** Whether an entry that believes in so much of one kind of resource is to be told that it is wrong. */
type IsWrong = (actual: number, believed: number, allowed: number) => boolean;

const isTooHigh: IsWrong = (actual, believed, allowed) =>
  believed - actual > Math.min(allowed, actual * ALLOWED_EXCESS);

const isOff: IsWrong = (actual, believed, allowed) =>
  actual - believed > allowed || isTooHigh(actual, believed, allowed);

/** Whether an entry that was told `before` and has `held` here now should hear of the room as it is. */
function isNews(room: Room, before: Told, held: Resources, isWrong: IsWrong): boolean {
  if (tellings.some((field) => room[field] !== before.room[field])) return true;
  if (room.labels.join() !== before.room.labels.join()) return true;
  const total = Resources.of(room.total ?? {});
  const toldTotal = Resources.of(before.room.total ?? {});
  const actual = Resources.of(room.free ?? {});
  const told = Resources.of(before.room.free ?? {});
  return kinds.some((kind) => {
    if (total[kind] !== toldTotal[kind]) return true;
    const own = before.room.inTurns ? 0 : before.held[kind] - held[kind];
    return isWrong(actual[kind], told[kind] + own, total[kind] * ALLOWED_SHARE);
  });
}

/** What a report tells besides amounts and labels. */
const tellings = ['backend', 'service', 'accepting', 'slowness', 'failing', 'speed'] as const;

const kinds = ['cpuMilli', 'memoryMb', 'accelerators'] as const;

/**
 * Coarse steps, so that small changes make no message: powers of the square root of two from twice
 * the estimates on. Less than that is the error of the estimates, and decides nothing.
 */
function stepped(slowness: number): number {
  if (slowness <= 0) return 0;
  if (slowness < 2) return 1;
  return 2 ** (Math.round(2 * Math.log2(slowness)) / 2);
}

const THOUSAND = 1000;

/** Share of failures from which a backend server is called failing; a failing one soon has all. */
const FAILING = 0.5;

/** By how much of what is left an entry may believe in more: of the last few tasks' room it has to know exactly. */
const ALLOWED_EXCESS = 0.5;

/** By how much of the whole an entry's belief may be wrong: one large task. */
const ALLOWED_SHARE = 0.2;
