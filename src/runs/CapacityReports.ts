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

/** The last report sent to an entry, and what its runs occupied here then. */
interface SentReport {
  readonly room: Room;
  readonly allocated: Resources;
  /** The offer that the report announced. */
  readonly offer: number | undefined;
}

/**
 * Reports free capacity to the entries. An entry knows what its own runs occupy and free, so a report is only about
 * the runs of other entries: it is sent when the entry's view is wrong by more than about one task. An entry that
 * assumes too little reports its demand when it needs more, and gets offers; one that assumes too much has a start
 * request refused, and assumes none from then on. While entries wait for capacity, it is reported only to the entry
 * that is offered it. So reports cost little however many entries are linked, and most when nothing waits.
 */
export default class CapacityReports {
  private readonly sentReports = new Map<EntryLink, SentReport>();

  private offerTimer: Subscription | undefined;

  private isScheduled = false;

  /** The incarnation whose duration ratio was reported last, and the value. */
  private reportedRatio:
    { readonly backend: string; readonly ratio: number | undefined } | undefined;

  private constructor(
    private readonly timer: TimerService,
    private readonly backend: LocalBackend,
    private readonly offers: CapacityOffers,
    private readonly entryLinks: () => Iterable<EntryLink>,
    private readonly log: EventLog,
  ) {}

  /** Creates the reports of a sidecar to the entries linked. */
  static create(
    timer: TimerService,
    backend: LocalBackend,
    offers: CapacityOffers,
    entryLinks: () => Iterable<EntryLink>,
    log: EventLog,
  ): CapacityReports {
    return new CapacityReports(timer, backend, offers, entryLinks, log);
  }

  /** Something has changed: reports that are due are sent in a microtask. */
  scheduleUpdate(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    queueMicrotask(() => this.sendUpdates());
  }

  /** Forgets an entry whose link has ended. */
  removeEntry(entryLink: EntryLink): void {
    this.sentReports.delete(entryLink);
    this.offers.removeEntry(entryLink);
  }

  /** The entry has sent a start request, which uses up its offer. */
  handleStart(entryLink: EntryLink): void {
    if (this.sentReports.get(entryLink)?.room.inTurns) this.handleRefusal(entryLink);
  }

  /** A start request was refused, after which the entry assumes that there is no free capacity. */
  handleRefusal(entryLink: EntryLink): void {
    const previous = this.sentReports.get(entryLink);
    if (!previous) return;
    const room = { ...previous.room, inTurns: true, free: noCapacity };
    this.sentReports.set(entryLink, {
      room,
      allocated: this.backend.allocatedTo(entryLink),
      offer: undefined,
    });
    this.scheduleUpdate();
  }

  private sendUpdates(): void {
    this.isScheduled = false;
    const room = this.currentRoom();
    const assignee = this.offers.assign(Resources.of(room.free ?? {}));
    const withheld = { ...room, inTurns: true, free: noCapacity };
    this.clearExpiredOffers();
    [...this.entryLinks()].forEach((entryLink) => {
      if (assignee === entryLink) this.sendOffer(entryLink, { ...room, inTurns: true });
      else if (assignee === 'anybody') this.sendIfWrong(entryLink, room, isMisestimate);
      else this.sendIfWrong(entryLink, withheld, isOverestimate);
    });
    if (this.offers.offerExpiresAt !== undefined)
      this.scheduleOfferExpiry(this.offers.offerExpiresAt);
  }

  /** Entries drop unused offers by themselves, so no report is sent. */
  private clearExpiredOffers(): void {
    const open = this.offers.offerNumber;
    this.sentReports.forEach(({ room, offer }, entryLink) => {
      if (offer === undefined || offer === open) return;
      const allocated = this.backend.allocatedTo(entryLink);
      this.sentReports.set(entryLink, {
        room: { ...room, free: noCapacity },
        allocated,
        offer: undefined,
      });
    });
  }

  /** Updates the reports when the open offer expires. */
  private scheduleOfferExpiry(untilMs: number): void {
    this.offerTimer?.cancel();
    this.offerTimer = this.timer.after(untilMs - this.timer.now(), () => this.scheduleUpdate());
  }

  private sendOffer(entryLink: EntryLink, room: Room): void {
    const offer = this.offers.offerNumber;
    const isNew = this.sentReports.get(entryLink)?.offer !== offer;
    this.sendIfWrong(entryLink, room, isNew ? () => true : isMisestimate, offer);
  }

  private sendIfWrong(entryLink: EntryLink, room: Room, isWrong: IsWrong, offer?: number): void {
    const allocated = this.backend.allocatedTo(entryLink);
    const previous = this.sentReports.get(entryLink);
    if (previous && !needsUpdate(room, previous, allocated, isWrong)) return;
    const value = create(RoomSchema, { ...room, newestOrder: entryLink.newestOrder });
    this.sentReports.set(entryLink, { room: value, allocated, offer });
    // This report includes what ended runs have freed; sending those ends later would count it twice.
    entryLink.flushEnds();
    entryLink.link.send({ case: 'room', value });
  }

  private currentRoom(): Room {
    const incarnation = this.backend.current;
    if (!incarnation) return create(RoomSchema);
    const { id, born, service, capacity, labels } = incarnation.heartbeat;
    const backend = born === undefined ? id : `${id}@${born}`;
    return create(RoomSchema, {
      backend,
      service,
      total: toAmount(capacity),
      free: toAmount(incarnation.free),
      labels: [...labels],
      accepting: this.backend.isAccepting,
      slowness: Math.round(quantizedSlowness(incarnation.health.slowness ?? 0) * THOUSAND),
      failing: incarnation.health.failureRate >= MIN_FAILING_RATE,
      speed: Math.round(
        (this.ratioToReport(backend, incarnation.health.durations.ratio) ?? 0) * THOUSAND,
      ),
    });
  }

  private ratioToReport(backend: string, measured: number | undefined): number | undefined {
    const previous = this.reportedRatio?.backend === backend ? this.reportedRatio.ratio : undefined;
    const ratio = quantizedRatio(previous, measured);
    if (ratio !== previous)
      this.log.info('the duration ratio reported to entries has changed', {
        times: ratio,
        told: previous,
      });
    this.reportedRatio = { backend, ratio };
    return ratio;
  }
}

const noCapacity = toAmount(Resources.none);

/** Whether an entry must be corrected that assumes so much of one kind of resource. */
type IsWrong = (actual: number, assumed: number, allowed: number) => boolean;

const isOverestimate: IsWrong = (actual, assumed, allowed) =>
  assumed - actual > Math.min(allowed, actual * MAX_EXCESS_SHARE);

const isMisestimate: IsWrong = (actual, assumed, allowed) =>
  actual - assumed > allowed || isOverestimate(actual, assumed, allowed);

/** Whether an entry with this last report, and these allocations now, needs a new report. */
function needsUpdate(
  room: Room,
  previous: SentReport,
  allocated: Resources,
  isWrong: IsWrong,
): boolean {
  if (comparedFields.some((field) => room[field] !== previous.room[field])) return true;
  if (room.labels.join() !== previous.room.labels.join()) return true;
  const total = Resources.of(room.total ?? {});
  const reportedTotal = Resources.of(previous.room.total ?? {});
  const actual = Resources.of(room.free ?? {});
  const reported = Resources.of(previous.room.free ?? {});
  return resourceKinds.some((kind) => {
    if (total[kind] !== reportedTotal[kind]) return true;
    const ownChange = previous.room.inTurns ? 0 : previous.allocated[kind] - allocated[kind];
    return isWrong(actual[kind], reported[kind] + ownChange, total[kind] * MAX_ERROR_SHARE);
  });
}

/** Fields of a report other than amounts and labels. */
const comparedFields = ['backend', 'service', 'accepting', 'slowness', 'failing', 'speed'] as const;

const resourceKinds = ['cpuMilli', 'memoryMb', 'accelerators'] as const;

/**
 * Rounds to coarse steps, so that small changes cause no message: powers of the square root of two, from twice
 * the estimates on. Lower values are within the error of the estimates and affect no decision.
 */
function quantizedSlowness(slowness: number): number {
  if (slowness <= 0) return 0;
  if (slowness < 2) return 1;
  return 2 ** (Math.round(2 * Math.log2(slowness)) / 2);
}

const THOUSAND = 1000;

/** Failure rate from which a backend server is reported as failing; a failing one soon reaches 1. */
const MIN_FAILING_RATE = 0.5;

/**
 * By how much an entry may overestimate free capacity, as a share of what is left: near the limit it has to be
 * exact to the last few tasks.
 */
const MAX_EXCESS_SHARE = 0.5;

/** By how much an entry's view may be wrong, as a share of the total: one large task. */
const MAX_ERROR_SHARE = 0.2;
