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

interface EntryLinkOptions {
  readonly timer: TimerService;
  readonly backend: LocalBackend;
  readonly link: Link;
  readonly log: EventLog;
  /** Whether entries wait for room here, so that each end is of use at once. */
  readonly isCapacityScarce: () => boolean;
  /** Told of each order that was refused. */
  readonly onRefusal: () => void;
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
  private ignoreEchoesBefore = -Infinity;

  private entryClockMs = 0;

  /** When the runs are stopped unless the entry is confirmed before. */
  private silenceTimer: Subscription | undefined;

  /** When the last pulse was sent, and whether it went along with something else. */
  private pulsedAt = -Infinity;

  private wasPiggybacked = false;

  /** The next pulse, when it is due between two turns of all. */
  private pulseTimer: Subscription | undefined;

  private readonly openedAt: number;

  private isClosed = false;

  private readonly endReports: RunEndReports;

  private constructor(private readonly opts: EntryLinkOptions) {
    this.openedAt = opts.timer.now();
    this.endReports = RunEndReports.create(opts.timer, opts.link);
  }

  /** Begins to confirm that the entry is awake. */
  static open(opts: EntryLinkOptions): EntryLink {
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
    if (this.isClosed || confirmedAt === undefined || confirmedAt < this.ignoreEchoesBefore)
      return false;
    return this.opts.timer.now() - confirmedAt < pulseTimings.ownerSilenceMs;
  }

  /**
   * This process may have been suspended: nothing is started for the entry before a new confirmation. How long it has
   * been silent is not counted anew, since callers may be about to turn to others all the same.
   */
  requireConfirmation(): void {
    this.ignoreEchoesBefore = this.opts.timer.now();
    this.stopIfSilent();
    this.sendPulse();
  }

  /**
   * Asks whether the entry is awake, and stops its runs when the last answer is too old. To be called
   * at the interval of pulses. One that went along with something else a short time ago serves as well.
   */
  checkAndPulse(): void {
    this.stopIfSilent();
    if (Math.min(this.silentMs, this.sincePauseMs) >= pulseTimings.closeMs) {
      this.opts.link.close(true);
      return;
    }
    if (this.wasPiggybacked) this.schedulePulse(this.pulsedAt + pulseTimings.intervalMs);
    else this.sendPulse();
    this.scheduleSilenceCheck();
  }

  /** Something is being sent to the entry: a pulse in the same frame spares one by itself. */
  private piggybackPulse(): void {
    if (this.opts.timer.now() - this.pulsedAt < MIN_PIGGYBACK_INTERVAL_MS) return;
    this.sendPulse();
    this.wasPiggybacked = true;
  }

  private schedulePulse(dueAt: number): void {
    const { timer } = this.opts;
    this.pulseTimer?.cancel();
    this.pulseTimer = timer.after(dueAt - timer.now(), () => this.sendPulse());
  }

  /** How long the entry has not been confirmed to be awake, ms; infinite once the link has ended. */
  get silentMs(): number {
    if (this.isClosed) return Infinity;
    return this.opts.timer.now() - (this.confirmedAt ?? this.openedAt);
  }

  /** Time for the entry to answer since this process was held up, ms. */
  private get sincePauseMs(): number {
    return this.opts.timer.now() - this.ignoreEchoesBefore;
  }

  /** The proof may grow too old between two pulses: that is seen when it does. */
  private scheduleSilenceCheck(): void {
    const leftMs = pulseTimings.ownerSilenceMs - this.silentMs;
    if (leftMs <= 0 || leftMs >= pulseTimings.intervalMs) return;
    this.silenceTimer = this.opts.timer.after(leftMs, () => this.stopIfSilent());
  }

  private stopIfSilent(): void {
    const { backend, link, log } = this.opts;
    const { silentMs } = this;
    if (silentMs < pulseTimings.ownerSilenceMs) return;
    log.warn('an entry is silent: its runs are stopped', {
      entry: link.peer.instance,
      silentMs: Math.round(silentMs),
    });
    backend.stop(this, 'entry_silent');
  }

  /** Takes the entry's pulse. */
  handlePulse({ sentMs, echoMs }: Pulse): void {
    this.entryClockMs = Math.max(this.entryClockMs, sentMs);
    if (echoMs <= 0 || echoMs < this.ignoreEchoesBefore) return;
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
      this.opts.backend.start(
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
          onEnded: ended,
        },
        (reason) => this.refuse(task, number, reason),
      );
    });
  }

  /** Stops runs that the entry no longer wants. */
  stop({ numbers }: StopRuns): void {
    const wanted = new Set(numbers);
    this.opts.backend.stop(this, 'asked', ({ number }) => wanted.has(number));
  }

  /** Tells the entry of ends that have waited: it is about to reckon with its room here. */
  flushEnds(): void {
    this.endReports.flush();
  }

  /** Tells the entry that nothing of its earlier links is left here. */
  sendCleared(): void {
    this.opts.link.send({ case: 'cleared', value: create(ClearedSchema) });
  }

  /** The link has ended: everything that the entry ordered over it is stopped. */
  close(): void {
    this.isClosed = true;
    this.silenceTimer?.cancel();
    this.pulseTimer?.cancel();
    this.opts.backend.stop(this, 'link_ended');
  }

  private sendPulse(): void {
    this.pulseTimer?.cancel();
    this.endReports.flush();
    this.pulsedAt = this.opts.timer.now();
    this.wasPiggybacked = false;
    const value = create(PulseSchema, { sentMs: this.opts.timer.now(), echoMs: this.entryClockMs });
    this.opts.link.send({ case: 'pulse', value });
  }

  private refuse(task: Task, number: number, reason: string): void {
    this.report(task, create(RunEndSchema, { number, outcome: RunOutcome.REFUSED, reason }));
  }

  /**
   * A step is over with its last task, so the end of one whose companions still run here opens nothing. It is told with
   * the next, unless its room is needed.
   */
  private isDelayable({ batch, step }: Task, outcome: RunOutcome): boolean {
    const { backend, isCapacityScarce } = this.opts;
    return outcome === RunOutcome.DONE && !isCapacityScarce() && backend.hasRunsOfStep(batch, step);
  }

  private report(task: Task, end: RunEnd, stop?: StopRequest): void {
    const { outcomes, stops } = this.opts;
    const outcome = RunOutcome[end.outcome].toLowerCase();
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    if (stop) stops.set(stop.cause, (stops.get(stop.cause) ?? 0) + 1);
    if (stop || end.outcome !== RunOutcome.DONE) this.logEnd(task, end, outcome, stop);
    const mayWait = this.isDelayable(task, end.outcome);
    this.endReports.add(end, mayWait);
    if (!mayWait) this.piggybackPulse();
    if (end.outcome === RunOutcome.REFUSED) this.opts.onRefusal();
  }

  private logEnd(
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
const MIN_PIGGYBACK_INTERVAL_MS = 250;
