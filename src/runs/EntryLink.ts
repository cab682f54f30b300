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
  /** Whether entries wait for capacity here, so that the end of each run is needed without delay. */
  readonly isCapacityScarce: () => boolean;
  /** Called for each start request that was refused. */
  readonly onRefusal: () => void;
  /** Counts ended start requests, by outcome. */
  readonly outcomes: Map<string, number>;
  /** Counts runs that were stopped and have ended, by cause. */
  readonly stops: Map<string, number>;
}

/**
 * The link to one entry, with the runs that the entry has requested. They go on only while the entry is known
 * to be alive: each of its pulses echoes a reading of this process's clock, which proves that the entry was
 * alive after that time. When the proof becomes too old, the runs are stopped, since the caller may be about to
 * resubmit its job to another entry.
 */
export default class EntryLink implements RunOwner {
  /** The highest request number received. */
  newestOrder = 0;

  /**
   * The latest time at which the entry is known to have been alive, by this process's clock; undefined before
   * the first proof.
   */
  private confirmedAt: number | undefined;

  /** Echoes of readings before this time prove nothing: this process may have been suspended. */
  private ignoreEchoesBefore = -Infinity;

  private entryClockMs = 0;

  /** Stops the runs unless the entry is confirmed alive before. */
  private silenceTimer: Subscription | undefined;

  /** When the last pulse was sent, and whether it was piggybacked on another message. */
  private pulsedAt = -Infinity;

  private wasPiggybacked = false;

  /** The next pulse, if it is due between two calls of `checkAndPulse`. */
  private pulseTimer: Subscription | undefined;

  private readonly openedAt: number;

  private isClosed = false;

  private readonly endReports: RunEndReports;

  private constructor(private readonly opts: EntryLinkOptions) {
    this.openedAt = opts.timer.now();
    this.endReports = RunEndReports.create(opts.timer, opts.link);
  }

  /** Opens the link and sends the first pulse. */
  static open(opts: EntryLinkOptions): EntryLink {
    const entryLink = new EntryLink(opts);
    entryLink.sendPulse();
    return entryLink;
  }

  get link(): Link {
    return this.opts.link;
  }

  /** The entry's process incarnation. */
  get incarnation(): string {
    return this.opts.link.peer.incarnation;
  }

  /** Whether start requests of the entry may be executed now. */
  get isConfirmed(): boolean {
    const { confirmedAt } = this;
    if (this.isClosed || confirmedAt === undefined || confirmedAt < this.ignoreEchoesBefore)
      return false;
    return this.opts.timer.now() - confirmedAt < pulseTimings.ownerTimeoutMs;
  }

  /**
   * This process may have been suspended: nothing is started for the entry before it is confirmed alive again.
   * The time that it has been unresponsive is not reset, since its callers may be about to turn to other
   * entries all the same.
   */
  requireConfirmation(): void {
    this.ignoreEchoesBefore = this.opts.timer.now();
    this.stopIfSilent();
    this.sendPulse();
  }

  /**
   * Sends a pulse and stops the entry's runs when its last answer is too old. Call it once per pulse interval.
   * A pulse that was piggybacked a short time ago replaces this one.
   */
  checkAndPulse(): void {
    this.stopIfSilent();
    if (Math.min(this.silentMs, this.sincePauseMs) >= pulseTimings.closeAfterMs) {
      this.opts.link.close(true);
      return;
    }
    if (this.wasPiggybacked) this.schedulePulse(this.pulsedAt + pulseTimings.intervalMs);
    else this.sendPulse();
    this.scheduleSilenceCheck();
  }

  /** Another message is being sent to the entry: a pulse in the same frame saves a separate one. */
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

  /** Time since the entry was last known to be alive, ms; infinite once the link has ended. */
  get silentMs(): number {
    if (this.isClosed) return Infinity;
    return this.opts.timer.now() - (this.confirmedAt ?? this.openedAt);
  }

  /** Time that the entry has had to answer since this process was paused, ms. */
  private get sincePauseMs(): number {
    return this.opts.timer.now() - this.ignoreEchoesBefore;
  }

  /** The proof may expire between two pulses; the timer notices that in time. */
  private scheduleSilenceCheck(): void {
    const leftMs = pulseTimings.ownerTimeoutMs - this.silentMs;
    if (leftMs <= 0 || leftMs >= pulseTimings.intervalMs) return;
    this.silenceTimer = this.opts.timer.after(leftMs, () => this.stopIfSilent());
  }

  private stopIfSilent(): void {
    const { backend, link, log } = this.opts;
    const { silentMs } = this;
    if (silentMs < pulseTimings.ownerTimeoutMs) return;
    log.warn('an entry is unresponsive: its runs are stopped', {
      entry: link.peer.instance,
      silentMs: Math.round(silentMs),
    });
    backend.stop(this, 'entry_silent');
  }

  /** Handles a pulse of the entry. */
  handlePulse({ sentMs, echoMs }: Pulse): void {
    this.entryClockMs = Math.max(this.entryClockMs, sentMs);
    if (echoMs <= 0 || echoMs < this.ignoreEchoesBefore) return;
    this.confirmedAt = Math.max(this.confirmedAt ?? 0, echoMs);
  }

  /** Executes or refuses the start requests of a message. */
  start(message: StartRuns): void {
    const { batch, service, spec, runs } = message;
    runs.forEach((run) => {
      const { number, step, index, needs, estimateMs, attempt, mostTogether, label, suspicion } =
        run;
      const task = { batch, step, index };
      this.newestOrder = Math.max(this.newestOrder, number);
      const onEnded = (end: RunEnd, stop?: StopRequest): void => this.report(task, end, stop);
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
          onEnded,
        },
        (reason) => this.refuse(task, number, reason),
      );
    });
  }

  /** Stops runs that the entry no longer needs. */
  stop({ numbers }: StopRuns): void {
    const wanted = new Set(numbers);
    this.opts.backend.stop(this, 'asked', ({ number }) => wanted.has(number));
  }

  /** Sends the ends that were delayed: the entry is about to calculate with its capacity here. */
  flushEnds(): void {
    this.endReports.flush();
  }

  /** Tells the entry that nothing of its earlier links is left here. */
  sendCleared(): void {
    this.opts.link.send({ case: 'cleared', value: create(ClearedSchema) });
  }

  /** The link has ended: all runs that were requested over it are stopped. */
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
   * A step ends with its last task, so an end unblocks nothing while other tasks of the step run here. It is
   * sent with the next end, unless its capacity is needed.
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
    const isDelayable = this.isDelayable(task, end.outcome);
    this.endReports.add(end, isDelayable);
    if (!isDelayable) this.piggybackPulse();
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

/** The task of a start request. */
interface Task {
  readonly batch: string;
  readonly step: number;
  readonly index: number;
}

/** Minimum time between a pulse and a piggybacked one, ms: sending both would be redundant. */
const MIN_PIGGYBACK_INTERVAL_MS = 250;
