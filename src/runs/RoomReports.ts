import { create, equals } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import { AmountSchema, type Room, RoomSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type Resources from '../room/Resources';
import type OwnerLink from './OwnerLink';
import type RunHost from './RunHost';

/**
 * Tells the entries what room there is. Ends and changes of readiness go out with the same turn of
 * the event loop, since a task may be waiting for them; what other entries have started here is told
 * a few milliseconds later, together.
 */
export default class RoomReports {
  private readonly told = new Map<OwnerLink, Room>();

  private later: Subscription | undefined;

  private isDue = false;

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

  /** Reports after this turn: room has become free, or readiness has changed. */
  now(): void {
    if (this.isDue) return;
    this.isDue = true;
    queueMicrotask(() => this.tell());
  }

  /** Reports soon: room was taken. */
  soon(): void {
    if (this.isDue || this.later) return;
    const count = [...this.owners()].length;
    this.later = this.timer.after(TAKEN_MS * Math.max(1, count / FEW_ENTRIES), () => this.tell());
  }

  /** Forgets an owner whose link has ended. */
  forget(owner: OwnerLink): void {
    this.told.delete(owner);
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
      slowness: Math.round((life.slowness.average ?? 0) * THOUSAND),
    });
  }
}

function amountOf({ cpuMilli, memoryMb, accelerators }: Resources) {
  return create(AmountSchema, { cpuMilli, memoryMb, accelerators });
}

const THOUSAND = 1000;

/** Room that was taken is told this much later, ms: a few starts of a busy moment share one message. */
const TAKEN_MS = 5;

/** Entries up to which that pause is kept; with more it grows, so that messages do not. */
const FEW_ENTRIES = 3;
