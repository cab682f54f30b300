import { create } from '@bufbuild/protobuf';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import {
  ClearedSchema,
  type Pulse,
  PulseSchema,
  type RunEnd,
  RunEndSchema,
  RunOutcome,
  type StartRuns,
  type StopRuns,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import pulseTimings from '../peering/pulseTimings';
import Resources from '../room/Resources';
import RunEndReports from './RunEndReports';
import type LocalBackend from './LocalBackend';
import type RunOwner from './RunOwner';
import type StopRequest from './StopRequest';
import type EventLog from '../observe/EventLog';

interface OwnerLinkOptions {
  readonly timer: TimerService;
  readonly host: LocalBackend;
  readonly link: Link;
  readonly log: EventLog;
  /** Whether entries wait for room here, so that each end is of use at once. */
  readonly isRoomShort: () => boolean;
  /** Told of each order that was refused. */
  readonly refused: () => void;
  /** Counts orders that are over, by outcome. */
  readonly outcomes: Map<string, number>;
  /** Counts runs that were stopped and are over, by cause. */
  readonly stops: Map<string, number>;
}

/**
 * One entry's link, with the runs that it has ordered. They are the entry's only as long as it is
 * known to be awake: each of its pulses returns a reading of this process's clock, which proves that
 * the entry was awake after that. When the proof grows old, the runs are stopped, since the caller
 * may be about to submit its job to another entry.
 */
export default class EntryLink implements RunOwner {
  /** The newest order number that has arrived. */
  newestOrder = 0;

  /** The newest time at which the entry was surely awake, by this process's clock; none before the first. */
  private confirmedAt: number | undefined;

  /** Pulses sent before this prove nothing: this process may have been suspended. */
  private doubtedUntil = -Infinity;

  private heardMs = 0;

  /** When the runs are stopped unless the entry is confirmed before. */
  private limit: Subscription | undefined;

  /** When the last pulse was sent, and whether it went along with something else. */
  private pulsedAt = -Infinity;

  private wentAlong = false;

  /** The next pulse, when it is due between two turns of all. */
  private nextPulse: Subscription | undefined;

  private readonly openedAt: number;

  private isClosed = false;

  private readonly ends: RunEndReports;

  private constructor(private readonly opts: OwnerLinkOptions) {
    this.openedAt = opts.timer.now();
    this.ends = RunEndReports.create(opts.timer, opts.link);
  }

  /** Begins to confirm that the entry is awake. */
  static open(opts: OwnerLinkOptions): EntryLink {
    const owner = new EntryLink(opts);
    owner.sendPulse();
    return owner;
  }

  get link(): Link {
    return this.opts.link;
  }

  /** The entry's run of its process. */
  get incarnation(): string {
    return this.opts.link.peer.incarnation;
  }

  /** Whether the entry's orders may be carried out now. */
  get isConfirmed(): boolean {
    const { confirmedAt } = this;
    if (this.isClosed || confirmedAt === undefined || confirmedAt < this.doubtedUntil) return false;
    return this.opts.timer.now() - confirmedAt < pulseTimings.ownerSilenceMs;
  }

  /**
   * This process may have been suspended: nothing is started for the entry before a new confirmation. How long it has
   * been silent is not counted anew, since callers may be about to turn to others all the same.
   */
  requireConfirmation(): void {
    this.doubtedUntil = this.opts.timer.now();
    this.stopIfSilent();
    this.sendPulse();
  }

  /**
   * Asks whether the entry is awake, and stops its runs when the last answer is too old. To be called
   * at the interval of pulses. One that went along with something else a short time ago serves as well.
   */
  pulse(): void {
    this.stopIfSilent();
    if (Math.min(this.silentMs, this.sinceDoubtMs) >= pulseTimings.closeMs) {
      this.opts.link.close(true);
      return;
    }
    if (this.wentAlong) this.pulseAfter(this.pulsedAt + pulseTimings.intervalMs);
    else this.sendPulse();
    this.awaitLimit();
  }

  /** Something is being sent to the entry: a pulse in the same frame spares one by itself. */
  private pulseAlong(): void {
    if (this.opts.timer.now() - this.pulsedAt < ALONG_MS) return;
    this.sendPulse();
    this.wentAlong = true;
  }

  private pulseAfter(dueAt: number): void {
    const { timer } = this.opts;
    this.nextPulse?.cancel();
    this.nextPulse = timer.after(dueAt - timer.now(), () => this.sendPulse());
  }

  /** How long the entry has not been confirmed to be awake, ms; infinite once the link has ended. */
  get silentMs(): number {
    if (this.isClosed) return Infinity;
    return this.opts.timer.now() - (this.confirmedAt ?? this.openedAt);
  }

  /** Time for the entry to answer since this process was held up, ms. */
  private get sinceDoubtMs(): number {
    return this.opts.timer.now() - this.doubtedUntil;
  }

  /** The proof may grow too old between two pulses: that is seen when it does. */
  private awaitLimit(): void {
    const leftMs = pulseTimings.ownerSilenceMs - this.silentMs;
    if (leftMs <= 0 || leftMs >= pulseTimings.intervalMs) return;
    this.limit = this.opts.timer.after(leftMs, () => this.stopIfSilent());
  }

  private stopIfSilent(): void {
    const { host, link, log } = this.opts;
    const { silentMs } = this;
    if (silentMs < pulseTimings.ownerSilenceMs) return;
    log.warn('an entry is silent: its runs are stopped', {
      entry: link.peer.instance,
      silentMs: Math.round(silentMs),
    });
    host.stop(this, 'entry_silent');
  }

  /** Takes the entry's pulse. */
  handlePulse({ sentMs, echoMs }: Pulse): void {
    this.heardMs = Math.max(this.heardMs, sentMs);
    if (echoMs <= 0 || echoMs < this.doubtedUntil) return;
    this.confirmedAt = Math.max(this.confirmedAt ?? 0, echoMs);
  }

  /** Has orders carried out, or refused. */
  start(orders: StartRuns): void {
    const { batch, service, spec, runs } = orders;
    runs.forEach((order) => {
      const { number, step, index, needs, estimateMs, attempt, mostTogether, label, suspicion } =
        order;
      const task = { batch, step, index };
      this.newestOrder = Math.max(this.newestOrder, number);
      const ended = (end: RunEnd, stop?: StopRequest): void => this.report(task, end, stop);
      const amount = Resources.of(needs ?? {});
      this.opts.host.start(
        {
          batch,
          service,
          spec,
          number,
          step,
          index,
          estimateMs,
          attempt,
          mostTogether,
          label,
          suspicion,
          needs: amount,
          owner: this,
          ended,
        },
        (reason) => this.refuse(task, number, reason),
      );
    });
  }

  /** Stops runs that the entry no longer wants. */
  stop({ numbers }: StopRuns): void {
    const wanted = new Set(numbers);
    this.opts.host.stop(this, 'asked', ({ number }) => wanted.has(number));
  }

  /** Tells the entry of ends that have waited: it is about to reckon with its room here. */
  flushEnds(): void {
    this.ends.flush();
  }

  /** Tells the entry that nothing of its earlier links is left here. */
  sendCleared(): void {
    this.opts.link.send({ case: 'cleared', value: create(ClearedSchema) });
  }

  /** The link has ended: everything that the entry ordered over it is stopped. */
  close(): void {
    this.isClosed = true;
    this.limit?.cancel();
    this.nextPulse?.cancel();
    this.opts.host.stop(this, 'link_ended');
  }

  private sendPulse(): void {
    this.nextPulse?.cancel();
    this.ends.flush();
    this.pulsedAt = this.opts.timer.now();
    this.wentAlong = false;
    const value = create(PulseSchema, { sentMs: this.opts.timer.now(), echoMs: this.heardMs });
    this.opts.link.send({ case: 'pulse', value });
  }

  private refuse(task: Task, number: number, reason: string): void {
    this.report(task, create(RunEndSchema, { number, outcome: RunOutcome.REFUSED, reason }));
  }

  /**
   * A step is over with its last task, so the end of one whose companions still run here opens nothing. It is told with
   * the next, unless its room is needed.
   */
  private mayWait({ batch, step }: Task, outcome: RunOutcome): boolean {
    const { host, isRoomShort } = this.opts;
    return outcome === RunOutcome.DONE && !isRoomShort() && host.hasRunsOfStep(batch, step);
  }

  private report(task: Task, end: RunEnd, stop?: StopRequest): void {
    const { outcomes, stops } = this.opts;
    const outcome = RunOutcome[end.outcome].toLowerCase();
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    if (stop) stops.set(stop.cause, (stops.get(stop.cause) ?? 0) + 1);
    if (stop || end.outcome !== RunOutcome.DONE) this.note(task, end, outcome, stop);
    const mayWait = this.mayWait(task, end.outcome);
    this.ends.add(end, mayWait);
    if (!mayWait) this.pulseAlong();
    if (end.outcome === RunOutcome.REFUSED) this.opts.refused();
  }

  private note(
    { batch, step, index }: Task,
    end: RunEnd,
    outcome: string,
    stop?: StopRequest,
  ): void {
    const { link, log, timer } = this.opts;
    const { number, attempt, reason } = end;
    log.info('a run is over', {
      request: batch,
      step,
      index,
      entry: link.peer.instance,
      incarnation: link.peer.incarnation,
      number,
      attempt,
      outcome,
      reason,
      ...(stop && { stopCause: stop.cause, stopMs: Math.round(timer.now() - stop.requestedAt) }),
    });
  }
}

/** What an order is for. */
interface Task {
  readonly batch: string;
  readonly step: number;
  readonly index: number;
}

/** The shortest time between a pulse and one that goes along with something else, ms: two serve no better. */
const ALONG_MS = 250;
