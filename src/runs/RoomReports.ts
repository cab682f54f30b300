import { create, equals } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import { AmountSchema, type Room, RoomSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Resources from '../room/Resources';
import type OwnerLink from './OwnerLink';
import type RunHost from './RunHost';

/**
 * Tells the entries what room there is. An entry knows what its own orders take and give back, so a
 * report is only about what the others do. While there is plenty, a report may be late; when room
 * is short, tasks are waiting for it somewhere, and it is told with the same turn of the event loop.
 */
export default class RoomReports {
  private readonly told = new Map<OwnerLink, Room>();

  private later: Subscription | undefined;

  private isDue = false;

  private wasAccepting = false;

  private constructor(
    private readonly timer: TimerService,
    private readonly host: RunHost,
    private readonly owners: () => Iterable<OwnerLink>,
  ) {}

  /** Creates the reports of a sidecar to the owners linked. */
  static create(
    timer: TimerService,
    host: RunHost,
    owners: () => Iterable<OwnerLink>,
  ): RoomReports {
    return new RoomReports(timer, host, owners);
  }

  /** Something has changed: reports when it matters. */
  changed(): void {
    const { isAccepting } = this.host;
    if (isAccepting !== this.wasAccepting || this.isShort) this.now();
    else this.soon();
    this.wasAccepting = isAccepting;
  }

  /** Reports after this turn. */
  now(): void {
    if (this.isDue) return;
    this.isDue = true;
    queueMicrotask(() => this.tell());
  }

  /** Reports soon, with what else changes until then. */
  soon(): void {
    if (this.isDue || this.later) return;
    this.later = this.timer.after(this.isShort ? SHORT_MS : PLENTY_MS, () => this.tell());
  }

  /** Forgets an owner whose link has ended. */
  forget(owner: OwnerLink): void {
    this.told.delete(owner);
  }

  private get isShort(): boolean {
    const life = this.host.current;
    if (!life) return true;
    return life.free.cpuMilli < life.report.capacity.cpuMilli * SHORT_SHARE;
  }

  private tell(): void {
    this.isDue = false;
    this.later?.cancel();
    this.later = undefined;
    const room = this.describe();
    [...this.owners()].forEach((owner) => this.tellOwner(owner, room));
  }

  private tellOwner(owner: OwnerLink, room: Room): void {
    const value = create(RoomSchema, { ...room, newestOrder: owner.newestOrder });
    const before = this.told.get(owner);
    if (before && equals(RoomSchema, before, value)) return;
    this.told.set(owner, value);
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

function amountOf({ cpuMilli, memoryMb, accelerators }: Resources) {
  return create(AmountSchema, { cpuMilli, memoryMb, accelerators });
}

/** Coarse steps, so that small changes make no message: powers of the square root of two. */
function stepped(slowness: number): number {
  if (slowness <= 0) return 0;
  return 2 ** (Math.round(2 * Math.log2(slowness)) / 2);
}

const THOUSAND = 1000;

/** Share of failures from which a backend server is called failing; a failing one soon has all. */
const FAILING = 0.5;

/** Room is short below this share of the whole: about three tasks of ten. */
const SHORT_SHARE = 0.3;

/** How late a report may be while room is short and was only taken, ms: a few starts share one. */
const SHORT_MS = 5;

/** How late a report may be while there is plenty, ms: less than the shortest tasks take. */
const PLENTY_MS = 40;
