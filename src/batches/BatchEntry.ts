import type { Result } from 'neverthrow';
import BatchClaims from '../claims/BatchClaims';
import EventLoopLag from '../core/EventLoopLag';
import { RunOutcome, type SeenEntry } from '../gen/magnoliakeel/v1/peer_pb';
import type DrainedZones from '../peering/DrainedZones';
import FleetDurationRatios from '../placement/FleetDurationRatios';
import PauseDetector from '../peering/PauseDetector';
import pulseTimings from '../peering/pulseTimings';
import Admission from './Admission';
import type Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import type BatchEntryOptions from './BatchEntryOptions';
import type BatchSubmission from './BatchSubmission';
import type CancelOutcome from './CancelOutcome';
import CancelledIds from './CancelledIds';
import CrashHistory from './CrashHistory';
import EntryPeers from './EntryPeers';
import BatchEstimator from './BatchEstimator';
import Followers from './Followers';
import OperatorSettings from './OperatorSettings';
import SubmissionHandler from './SubmissionHandler';
import LostSidecars from './LostSidecars';
import recordDispatched from './recordDispatched';
import OpenBatches from './OpenBatches';
import type DispatchedStart from './DispatchedStart';
import type QueueTable from './QueueTable';
import RecentCrashes from './RecentCrashes';
import RunEndHandler from './RunEndHandler';
import Scheduler from './Scheduler';
import SlowRunMover from './SlowRunMover';
import Startup from './Startup';
import LoadShedder from './LoadShedder';
import type SidecarPeer from './SidecarPeer';
import standardPolicy from './standardPolicy';
import StoredCancellations from './StoredCancellations';

/**
 * Accepts batches from callers, has their tasks run by sidecars, and answers when all have ended.
 * The state of a batch lives only here: if this entry is lost, its runs are stopped, and the caller
 * resubmits the batch to another entry.
 */
export default class BatchEntry {
  private readonly settings: OperatorSettings;

  private readonly batches: OpenBatches;

  private readonly peers: EntryPeers;

  private readonly scheduler: Scheduler;

  private readonly admission: Admission;

  private readonly loadShedder: LoadShedder;

  private readonly runEndHandler: RunEndHandler;

  private readonly submissionHandler: SubmissionHandler;

  private readonly storedCancellations: StoredCancellations | undefined;

  private readonly lostSidecars: LostSidecars;

  private readonly startup: Startup;

  private readonly pauseDetector: PauseDetector;

  private readonly eventLoopLag: EventLoopLag;

  private readonly slowRunMoves: SlowRunMover;

  private isLeaving = false;

  private constructor(private readonly opts: BatchEntryOptions) {
    const { timer, random, log, metrics, zone, remoteFactor, policy = standardPolicy } = opts;
    const { store, incarnation } = opts;
    this.settings = OperatorSettings.create(log);
    this.startup = Startup.begin(timer);
    this.eventLoopLag = EventLoopLag.start(timer);
    const crashHistory = CrashHistory.create(timer);
    const estimator = BatchEstimator.create(policy);
    const cancelled = CancelledIds.create(timer);
    this.storedCancellations =
      store && StoredCancellations.create({ timer, log, store, incarnation });
    this.batches = OpenBatches.create({
      timer,
      log,
      metrics,
      onAnswered: (batch) => this.handleAnswered(batch),
    });
    const liveEntries = (): readonly SeenEntry[] | undefined => {
      const reports = [...this.peers.sidecars]
        .map((peer) => peer.liveEntries)
        .filter((each) => each);
      return reports.length > 0 ? reports.flatMap((each) => each ?? []) : undefined;
    };
    const claims = BatchClaims.create({ ...opts, liveEntries });
    this.peers = EntryPeers.create({
      ...opts,
      claims,
      followers: Followers.create({ log, claims, batches: this.batches }),
      table: () => this.table,
      onConfiguration: (table) => this.configure(table, 'another entry'),
      drainedZones: () => this.drainedZones,
      onDrainedZones: (zones) => this.drainZones(zones, 'another entry'),
      cancelled,
      onCancelled: (cancellation) => this.submissionHandler.cancel(cancellation, 'another entry'),
      onLoad: (entry, report) => this.loadShedder.handleReport(entry, report),
      beforeMessage: () => this.pauseDetector.check(),
      onIsolated: (silentMs) => this.handleIsolation(silentMs),
      onCapacityChange: () => this.scheduler.wake(),
      onRunEnded: (peer, end) => this.runEndHandler.handleReport(peer, end),
      onSidecarLost: (peer) => this.lostSidecars.add(peer),
      onSidecarCleared: (instance) => this.lostSidecars.handleCleared(instance),
    });
    const sidecars = (): ReadonlySet<SidecarPeer> => this.peers.sidecars;
    const fleet = FleetDurationRatios.create();
    this.scheduler = Scheduler.create({
      timer,
      zone,
      policy,
      fleet,
      remoteFactor,
      peers: sidecars,
      onExpired: (batch) => this.batches.finish(batch, this.admission.refusalOfExpired()),
      onDispatched: (batch, starts) => this.handleDispatched(batch, starts),
      onError: (batch, error) => this.handleError(batch, error),
    });
    this.admission = Admission.create({
      random,
      log,
      peers: sidecars,
      backlog: () => this.scheduler.backlog,
      entryCount: () => this.peers.mesh.entryCount,
      isStarting: () => this.startup.isInProgress,
      lagMs: () => this.eventLoopLag.currentMs,
    });
    this.loadShedder = LoadShedder.create({
      ...{ timer, random, log, metrics, policy, peers: sidecars },
      backlog: () => this.scheduler.backlog,
      sendReport: (report) => this.peers.mesh.sendLoad(report),
      finish: (batch, answer) => this.batches.finish(batch, answer),
    });
    this.runEndHandler = RunEndHandler.create({
      timer,
      log,
      metrics,
      batches: this.batches,
      estimator,
      crashes: RecentCrashes.create({
        timer,
        log,
        metrics,
        attributeCrashes: policy.attributeCrashes,
      }),
      exceedsCrashLimit: policy.exceedsCrashLimit,
      onCrash: (batch) => crashHistory.save(batch),
      onEnd: () => this.scheduler.wake(),
    });
    const { batches, admission, loadShedder, scheduler, runEndHandler, storedCancellations } = this;
    this.submissionHandler = SubmissionHandler.create({
      ...{ timer, log, metrics, crashHistory, estimator, claims },
      ...{ batches, admission, loadShedder, scheduler, runEndHandler },
      ...{ cancelled, storedCancellations },
      context: () => ({
        incarnation,
        version: this.table.version,
        sidecars: sidecars().size,
      }),
    });
    this.lostSidecars = LostSidecars.create(timer, (run, peer, reason) =>
      this.runEndHandler.handleEnd(run, peer, RunOutcome.LOST, reason),
    );
    this.pauseDetector = PauseDetector.start(
      timer,
      pulseTimings.pauseCheckIntervalMs.entry,
      (gapMs) => this.handlePause(gapMs),
    );
    this.slowRunMoves = SlowRunMover.start({ timer, log, metrics, policy, fleet, peers: sidecars });
  }

  /** Creates an entry that neither listens nor dials yet. */
  static create(opts: BatchEntryOptions): BatchEntry {
    return new BatchEntry(opts);
  }

  /**
   * Starts to listen for other processes, and dials the seed entries of the settings. Resolves to
   * its address, or to an error.
   */
  start(): Promise<Result<string, string>> {
    this.storedCancellations
      ?.load((batch) =>
        this.submissionHandler.cancel({ batch, ageMs: 0, isOwn: false }, 'the store'),
      )
      .catch((error: unknown) =>
        this.opts.log.warn('the stored cancellations could not be read', { error }),
      );
    return this.peers.start();
  }

  /** The active configuration. */
  get table(): QueueTable {
    return this.settings.table;
  }

  /** The availability zones in which nothing is started, since operators have drained them. */
  get drainedZones(): DrainedZones {
    return this.settings.drainedZones;
  }

  /**
   * Whether batches can be served: there is a configuration and a backend server that accepts
   * tasks.
   */
  get isReady(): boolean {
    if (this.isLeaving || this.table.version === 0) return false;
    return [...this.peers.sidecars].some(({ isAccepting }) => isAccepting);
  }

  /** Number of batches without an answer. */
  get openCount(): number {
    return this.batches.size;
  }

  /** Number of tasks that wait for capacity. */
  get queuedCount(): number {
    return this.scheduler.queued;
  }

  /** Duration ratios, relative to the mean, of the machines that deviate from it. */
  get machineRatios(): ReadonlyMap<SidecarPeer, number> {
    return this.scheduler.machineRatios;
  }

  /** Number of linked sidecars. */
  get sidecarCount(): number {
    return this.peers.sidecars.size;
  }

  /** Number of links to other entries, in either direction. */
  get entryLinkCount(): number {
    return this.peers.mesh.linkCount;
  }

  /** Number of batches of a queue of which no task has been started. */
  unstartedCount(queue: string): number {
    const { all } = this.batches;
    return all.filter((b) => b.submission.queue.name === queue && b.startsSent === 0).length;
  }

  /** The open batch with this id; undefined if it is not open here. */
  find(id: string): Batch | undefined {
    return this.batches.find(id);
  }

  /**
   * Resolves to whether there is a configuration, without which requests cannot be assigned to
   * queues. Just after the start a caller with `callerMs` left, in ms, waits for it for a while;
   * later nobody does.
   */
  async waitForConfiguration(callerMs: number, callerGone: AbortSignal): Promise<boolean> {
    if (this.table.version === 0) await this.startup.waitForConfiguration(callerMs, callerGone);
    return this.table.version > 0;
  }

  /**
   * Activates a configuration unless the active one is as new, and announces it to other entries.
   */
  configure(table: QueueTable, source: string): void {
    if (!this.settings.configure(table, source)) return;
    this.startup.endWaits();
    this.peers.mesh.sendConfiguration();
    this.scheduler.wake();
  }

  /**
   * Applies the availability zones that operators have drained, unless they are outdated, and
   * forwards them to all peers. Sidecars in these zones then accept no new tasks.
   */
  drainZones(zones: DrainedZones, source: string): void {
    if (this.settings.drainZones(zones, source)) this.peers.sendDrainedZones();
  }

  /** Adds entries to dial. */
  addEntryAddresses(addresses: readonly string[]): void {
    this.peers.mesh.addAddresses(addresses);
  }

  /**
   * Why a batch is refused regardless of its content, to be checked before its request is read;
   * undefined if it is to be submitted. A resubmission joins the batch that is there, and is not
   * refused.
   */
  refusalOf(id: string, queue: string): BatchAnswer | undefined {
    return this.submissionHandler.refusalOf(id, queue);
  }

  /** Event-loop lag of this process, ms. */
  get lagMs(): number {
    return this.eventLoopLag.currentMs;
  }

  /**
   * Runs a batch and resolves to its answer. When `callerGone` aborts first, its runs are stopped.
   */
  submit(submission: BatchSubmission, callerGone: AbortSignal): Promise<BatchAnswer> {
    this.pauseDetector.check();
    return this.submissionHandler.submit(submission, callerGone);
  }

  /**
   * Cancels a batch for its caller, at whichever entry it is open. Resolves once the cancellation is
   * stored, or to `unstored` after a time-out.
   */
  async cancel(id: string): Promise<CancelOutcome> {
    this.peers.mesh.sendCancelled(id);
    const isOpen = this.submissionHandler.cancel(
      { batch: id, ageMs: 0, isOwn: true },
      'its caller',
    );
    const isStored = (await this.storedCancellations?.save(id)) ?? true;
    if (!isStored) return 'unstored';
    return isOpen ? 'open' : 'absent';
  }

  /** Accepts no more batches; resolves when none is open, or after `graceMs`. */
  async leave(graceMs: number): Promise<void> {
    const { timer, log } = this.opts;
    this.isLeaving = true;
    this.startup.endWaits();
    log.info('leaving: open batches are finished', { open: this.batches.size, graceMs });
    const deadline = timer.now() + graceMs;
    while (this.hasWaitingCallers && timer.now() < deadline) await timer.sleep(SHUTDOWN_POLL_MS);
    if (this.batches.size > 0) log.warn('giving up open batches', { open: this.batches.size });
    this.batches.giveUpAll('this entry ends', 'leaving');
  }

  /** Closes the links and stops listening. */
  async close(): Promise<void> {
    this.storedCancellations?.stop();
    this.slowRunMoves.stop();
    this.loadShedder.stop();
    this.eventLoopLag.stop();
    this.pauseDetector.stop();
    await Promise.race([this.peers.close(), this.opts.timer.sleep(CLOSE_TIMEOUT_MS)]);
  }

  private get hasWaitingCallers(): boolean {
    return this.batches.size > 0 || (this.storedCancellations?.waitingCount ?? 0) > 0;
  }

  private handleDispatched(batch: Batch, starts: readonly DispatchedStart[]): void {
    const tasks = starts.map(({ task }) => task);
    this.loadShedder.started(batch, tasks);
    recordDispatched(this.opts, batch, starts);
  }

  /** Gives up one batch that cannot be placed, instead of all that wait with it. */
  private handleError(batch: Batch, error: unknown): void {
    this.opts.log.warn('a batch could not be placed', { request: batch.id, error });
    this.batches.finish(batch, { kind: 'unknown', reason: 'an error in placing its tasks' });
  }

  /**
   * Handles a batch that has its answer: its waiting tasks are dropped and its active runs are
   * stopped.
   */
  private handleAnswered(batch: Batch): void {
    this.scheduler.remove(batch);
    this.loadShedder.answered(batch);
    this.peers.sidecars.forEach((peer) => peer.stop(batch));
  }

  /**
   * Handles a pause of this process. Callers may have retried at other entries meanwhile, so
   * nothing that was accepted before is continued.
   */
  private handlePause(gapMs: number): void {
    const open = this.batches.size;
    this.opts.log.warn('this process was held up: giving up open batches', { gapMs, open });
    this.batches.giveUpAll('this entry was held up', 'held_up');
  }

  /**
   * Handles a period in which no sidecar was reachable: other entries may have taken over this
   * entry's batches.
   */
  private handleIsolation(silentMs: number): void {
    const open = this.batches.size;
    if (open === 0) return;
    this.opts.log.warn('no message from any sidecar: giving up open batches', { silentMs, open });
    this.batches.giveUpAll('this entry was cut off', 'cut_off');
  }
}

/** How often an entry that shuts down checks whether its batches are answered, ms. */
const SHUTDOWN_POLL_MS = 20;

/** Longest time to wait for links and connections to close, ms. */
const CLOSE_TIMEOUT_MS = 250;
