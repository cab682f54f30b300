import { create } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import { type Room, RoomSchema } from '../gen/magnoliakeel/v1/peer_pb';
import amountOf from '../room/amountOf';
import Resources from '../room/Resources';
import type OwnerLink from './OwnerLink';
import type RoomTurns from './RoomTurns';
import type RunHost from './RunHost';

/** What an entry was told last, and what it had here then. */
interface Told {
  readonly room: Room;
  readonly held: Resources;
}

/**
 * Tells the entries what room there is. An entry knows what its own orders take and give back, so a
 * report is only about what the others do: one is sent when what an entry believes is wrong by more
 * than matters. While there is plenty that is a good part of the whole; when room is short, tasks are
 * waiting for it somewhere, and every change is told with the same turn of the event loop. So reports
 * cost little at a calm backend server, however many entries are linked.
 */
export default class RoomReports {
  private readonly told = new Map<OwnerLink, Told>();

  private offer: Subscription | undefined;

  private isDue = false;

  private constructor(
    private readonly timer: TimerService,
    private readonly host: RunHost,
    private readonly turns: RoomTurns,
    private readonly owners: () => Iterable<OwnerLink>,
  ) {}

  /** Creates the reports of a sidecar to the owners linked. */
  static create(
    timer: TimerService,
    host: RunHost,
    turns: RoomTurns,
    owners: () => Iterable<OwnerLink>,
  ): RoomReports {
    return new RoomReports(timer, host, turns, owners);
  }

  /** Something has changed: whoever should hear of it is told after this turn. */
  changed(): void {
    if (this.isDue) return;
    this.isDue = true;
    queueMicrotask(() => this.tell());
  }

  /** Forgets an owner whose link has ended. */
  forget(owner: OwnerLink): void {
    this.told.delete(owner);
    this.turns.forget(owner);
  }

  private tell(): void {
    this.isDue = false;
    const room = this.describe();
    const turn = this.turns.next(Resources.of(room.free ?? {}));
    const inTurns = turn !== 'anybody';
    const withoutRoom = { ...room, inTurns, free: amountOf(Resources.none) };
    [...this.owners()].forEach((owner) => {
      const mayUse = !inTurns || turn === owner;
      this.tellOwner(owner, mayUse ? { ...room, inTurns } : withoutRoom);
    });
    if (this.turns.offeredUntil !== undefined) this.awaitOffer(this.turns.offeredUntil);
  }

  /** Looks again when an offer passes on. */
  private awaitOffer(untilMs: number): void {
    this.offer?.cancel();
    this.offer = this.timer.after(untilMs - this.timer.now(), () => this.changed());
  }

  private tellOwner(owner: OwnerLink, room: Room): void {
    const held = this.host.heldBy(owner);
    const before = this.told.get(owner);
    if (before && !isNews(room, held, before)) return;
    const value = create(RoomSchema, { ...room, newestOrder: owner.newestOrder });
    this.told.set(owner, { room: value, held });
    owner.link.send({ case: 'room', value });
  }

  private describe(): Room {
    const life = this.host.current;
    if (!life) return create(RoomSchema);
    const { id, service, capacity, labels } = life.report;
    return create(RoomSchema, {
      backend: id,
      service,
      total: amountOf(capacity),
      free: amountOf(life.free),
      labels: [...labels],
      accepting: this.host.isAccepting,
      slowness: Math.round(stepped(life.health.slowness ?? 0) * THOUSAND),
      failing: life.health.failing >= FAILING,
    });
  }
}

/** Whether an entry that was told `before` should hear of the room as it is now. */
function isNews(room: Room, held: Resources, { room: before, held: heldThen }: Told): boolean {
  if (tellings.some((field) => room[field] !== before[field])) return true;
  if (room.labels.join() !== before.labels.join()) return true;
  const total = Resources.of(room.total ?? {});
  const toldTotal = Resources.of(before.total ?? {});
  const actual = Resources.of(room.free ?? {});
  const told = Resources.of(before.free ?? {});
  return kinds.some((kind) => {
    if (total[kind] !== toldTotal[kind]) return true;
    // An order that was refused changes nothing here: to tell of it would have it sent again at once.
    if (room.inTurns) return actual[kind] !== told[kind];
    const believed = told[kind] + heldThen[kind] - held[kind];
    const isPlenty = Math.min(believed, actual[kind]) >= total[kind] * SHORT_SHARE;
    return Math.abs(actual[kind] - believed) > (isPlenty ? total[kind] * PLENTY_DRIFT : 0);
  });
}

/** What a report tells besides amounts and labels. */
const tellings = ['backend', 'service', 'accepting', 'inTurns', 'slowness', 'failing'] as const;

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

/** Room is short below this share of the whole: about three tasks of ten. */
const SHORT_SHARE = 0.3;

/** While there is plenty, an entry's belief may be wrong by this share of the whole: one or two tasks. */
const PLENTY_DRIFT = 0.15;
