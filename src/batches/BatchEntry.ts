import type { Result } from 'neverthrow';
import BatchClaims from '../claims/BatchClaims';
import Lateness from '../core/Lateness';
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
import SlowRunMoves from './SlowRunMoves';
import Startup from './Startup';
import LoadShedder from './LoadShedder';
import type SidecarPeer from './SidecarPeer';
import standardPolicy from './standardPolicy';

/**
 * The process that takes batches from callers, has their tasks run at sidecars and answers when they
 * end. A batch lives here only: when this entry is lost, its runs are stopped, and the caller
 * submits it again to another.
 */
export default class BatchEntry {
  private readonly inForce: OperatorSettings;

  private readonly batches: OpenBatches;

  private readonly peers: EntryPeers;

  private readonly scheduler: Scheduler;

  private readonly admission: Admission;

  private readonly shedding: LoadShedder;

  private readonly ends: RunEndHandler;

  private readonly intake: SubmissionHandler;

  private readonly lost: LostSidecars;

  private readonly startup: Startup;

  private readonly gaps: PauseDetector;

  private readonly lateness: Lateness;

  private readonly moves: SlowRunMoves;

  private isLeaving = false;

  private constructor(private readonly opts: BatchEntryOptions) {
    const { timer, random, log, metrics, zone, remoteFactor, policy = standardPolicy } = opts;
    this.inForce = OperatorSettings.create(log);
    this.startup = Startup.begin(timer);
    this.lateness = Lateness.watch(timer);
    const crashed = CrashHistory.create(timer);
    const expectations = BatchEstimator.create(policy);
    this.batches = OpenBatches.create({
      timer,
      log,
      metrics,
      answered: (batch) => this.answered(batch),
    });
    const seen = (): readonly SeenEntry[] | undefined => {
      const told = [...this.peers.sidecars].map((peer) => peer.liveEntries).filter((each) => each);
      return told.length > 0 ? told.flatMap((each) => each ?? []) : undefined;
    };
    const claims = BatchClaims.create({ ...opts, liveEntries: seen });
    this.peers = EntryPeers.create({
      ...opts,
      claims,
      followers: Followers.create({ log, claims, batches: this.batches }),
      table: () => this.table,
      onConfiguration: (table) => this.configure(table, 'another entry'),
      drainedZones: () => this.drainedZones,
      onDrainedZones: (zones) => this.drainZones(zones, 'another entry'),
      onCancelled: (id) => this.intake.cancel(id, 'another entry'),
      onLoad: (entry, report) => this.shedding.handleReport(entry, report),
      beforeMessage: () => this.gaps.check(),
      onIsolated: (silentMs) => this.cutOff(silentMs),
      onCapacityChange: () => this.scheduler.wake(),
      onRunEnded: (peer, end) => this.ends.handleReport(peer, end),
      onSidecarLost: (peer) => this.lost.add(peer),
      onSidecarCleared: (instance) => this.lost.handleCleared(instance),
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
      waitedInVain: (batch) => this.batches.finish(batch, this.admission.refusalOfExpired()),
      ordered: (batch, starts) => this.ordered(batch, starts),
      failed: (batch, error) => this.failed(batch, error),
    });
    this.admission = Admission.create({
      random,
      log,
      peers: sidecars,
      backlog: () => this.scheduler.backlog,
      entryCount: () => this.peers.mesh.entryCount,
      isStarting: () => this.startup.isInProgress,
      latenessMs: () => this.lateness.currentMs,
    });
    this.shedding = LoadShedder.create({
      ...{ timer, random, log, metrics, policy, peers: sidecars },
      backlog: () => this.scheduler.backlog,
      tell: (report) => this.peers.mesh.sendLoad(report),
      finish: (batch, answer) => this.batches.finish(batch, answer),
    });
    this.ends = RunEndHandler.create({
      timer,
      log,
      metrics,
      batches: this.batches,
      expectations,
      crashes: RecentCrashes.create({ timer, log, metrics, judge: policy.judgeCrashes }),
      giveUp: policy.exceedsCrashLimit,
      crashed: (batch) => crashed.save(batch),
      ended: () => this.scheduler.wake(),
    });
    const { batches, admission, shedding, scheduler, ends } = this;
    this.intake = SubmissionHandler.create({
      ...{ timer, log, metrics, crashed, expectations, claims },
      ...{ batches, admission, shedding, scheduler, ends },
      circumstances: () => ({
        incarnation: opts.incarnation,
        version: this.table.version,
        sidecars: sidecars().size,
      }),
    });
    this.lost = LostSidecars.create(timer, (run, peer, reason) =>
      this.ends.handleEnd(run, peer, RunOutcome.LOST, reason),
    );
    this.gaps = PauseDetector.start(timer, pulseTimings.watchIntervalMs.entry, (gapMs) =>
      this.heldUp(gapMs),
    );
    this.moves = SlowRunMoves.start({ timer, log, metrics, policy, fleet, peers: sidecars });
  }

  /** Creates an entry that neither listens nor dials yet. */
  static create(opts: BatchEntryOptions): BatchEntry {
    return new BatchEntry(opts);
  }

  /** Opens the address for other processes and dials the entries of the settings. */
  start(): Promise<Result<string, string>> {
    return this.peers.start();
  }

  /** The configuration in force. */
  get table(): QueueTable {
    return this.inForce.table;
  }

  /** The availability zones in which nothing is started, since operators have drained them. */
  get drainedZones(): DrainedZones {
    return this.inForce.drainedZones;
  }

  /** Whether batches can be served: there is a configuration and a backend server that takes tasks. */
  get isReady(): boolean {
    if (this.isLeaving || this.table.version === 0) return false;
    return [...this.peers.sidecars].some(({ isAccepting }) => isAccepting);
  }

  /** Batches without an answer. */
  get openCount(): number {
    return this.batches.size;
  }

  /** Tasks that wait for room. */
  get queuedCount(): number {
    return this.scheduler.queued;
  }

  /** Times the middle that work takes at the backend servers that are unlike the others. */
  get speeds(): ReadonlyMap<SidecarPeer, number> {
    return this.scheduler.speeds;
  }

  /** Sidecars linked now. */
  get sidecarCount(): number {
    return this.peers.sidecars.size;
  }

  /** Links to other entries now, in either direction. */
  get entryLinkCount(): number {
    return this.peers.mesh.linkCount;
  }

  /** Batches of a queue of which no task has been started. */
  unstartedCount(queue: string): number {
    const { all } = this.batches;
    return all.filter((b) => b.submission.queue.name === queue && b.startsSent === 0).length;
  }

  /** Where a batch stands; undefined when it is not open here. */
  find(id: string): Batch | undefined {
    return this.batches.find(id);
  }

  /**
   * Resolves to whether there is a configuration to tell by what a request is. Just after the start a
   * caller that has this much time, in ms, waits for it for a while; afterwards nobody does.
   */
  async waitForConfiguration(callerMs: number, gone: AbortSignal): Promise<boolean> {
    if (this.table.version === 0) await this.startup.waitForConfiguration(callerMs, gone);
    return this.table.version > 0;
  }

  /** Puts a configuration in force unless a newer one is; tells all peers of it. */
  configure(table: QueueTable, source: string): void {
    if (!this.inForce.configure(table, source)) return;
    this.startup.endWaits();
    this.peers.mesh.sendConfiguration();
    this.scheduler.wake();
  }

  /**
   * Takes a word on the availability zones that operators have drained, and tells all peers what is news in it.
   * Sidecars there then take no new tasks.
   */
  drainZones(zones: DrainedZones, source: string): void {
    if (this.inForce.drainZones(zones, source)) this.peers.sendDrainedZones();
  }

  /** Dials these entries too, besides those already known. */
  addEntryAddresses(addresses: readonly string[]): void {
    this.peers.mesh.addAddresses(addresses);
  }

  /**
   * Why a batch is refused whatever it asks for, to be asked before its request is read; undefined when it is
   * to be submitted. What is submitted again joins what is there of it, and is not refused.
   */
  refusalOf(id: string, queue: string): BatchAnswer | undefined {
    return this.intake.refusalOf(id, queue);
  }

  /** How late this process is with its work, ms. */
  get latenessMs(): number {
    return this.lateness.currentMs;
  }

  /** Runs a batch and resolves to its answer. When `gone` aborts first, its runs are stopped. */
  submit(submission: BatchSubmission, gone: AbortSignal): Promise<BatchAnswer> {
    this.gaps.check();
    return this.intake.submit(submission, gone);
  }

  /** Ends a batch at its caller's wish, at whichever entry it is open; false when that is not here. */
  cancel(id: string): boolean {
    this.peers.mesh.sendCancelled(id);
    return this.intake.cancel(id, 'its caller');
  }

  /** Takes no more batches and resolves when none is open, or after the time. */
  async leave(graceMs: number): Promise<void> {
    const { timer, log } = this.opts;
    this.isLeaving = true;
    this.startup.endWaits();
    log.info('leaving: open batches are finished', { open: this.batches.size, graceMs });
    const deadline = timer.now() + graceMs;
    while (this.batches.size > 0 && timer.now() < deadline) await timer.sleep(LEAVE_POLL_MS);
    if (this.batches.size > 0) log.warn('batches are given up', { open: this.batches.size });
    this.batches.giveUpAll('this entry ends', 'leaving');
  }

  /** Ends links and listening. */
  async close(): Promise<void> {
    this.moves.stop();
    this.shedding.stop();
    this.lateness.stop();
    this.gaps.stop();
    await Promise.race([this.peers.close(), this.opts.timer.sleep(CLOSE_MS)]);
  }

  private ordered(batch: Batch, starts: readonly DispatchedStart[]): void {
    const tasks = starts.map(({ task }) => task);
    this.shedding.started(batch, tasks);
    recordDispatched(this.opts, batch, starts);
  }

  /** One batch that cannot be placed is given up, in place of all that wait with it. */
  private failed(batch: Batch, error: unknown): void {
    this.opts.log.warn('a batch could not be placed', { request: batch.id, error });
    this.batches.finish(batch, { kind: 'unknown', reason: 'an error in placing its tasks' });
  }

  /** The batch has its answer: what of it waits is forgotten, what runs is stopped. */
  private answered(batch: Batch): void {
    this.scheduler.remove(batch);
    this.shedding.answered(batch);
    this.peers.sidecars.forEach((peer) => peer.stop(batch));
  }

  /**
   * This process did not run for a while. Callers may have turned to other entries meanwhile, so
   * nothing that was taken before is continued.
   */
  private heldUp(gapMs: number): void {
    const open = this.batches.size;
    this.opts.log.warn('this process was held up: open batches are given up', { gapMs, open });
    this.batches.giveUpAll('this entry was held up', 'held_up');
  }

  /** All sidecars were out of reach, so others may have taken over what this entry has. */
  private cutOff(silentMs: number): void {
    const open = this.batches.size;
    if (open === 0) return;
    this.opts.log.warn('no sidecar was heard: open batches are given up', { silentMs, open });
    this.batches.giveUpAll('this entry was cut off', 'cut_off');
  }
}

/** How often a leaving entry looks whether its batches are answered, ms. */
const LEAVE_POLL_MS = 20;

/** Time for links and connections to end at the last, ms. */
const CLOSE_MS = 250;
