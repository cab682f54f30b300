import { create } from '@bufbuild/protobuf';
import type Random from '../core/Random';
import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import { type LoadReport, LoadReportSchema } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type Metrics from '../observe/Metrics';
import type Load from '../sharing/Load';
import PeerLoads from '../sharing/PeerLoads';
import predictQueueDelayMs from '../sharing/predictQueueDelayMs';
import type Batch from './Batch';
import type BatchAnswer from './BatchAnswer';
import type BatchPolicy from './BatchPolicy';
import type BatchTask from './BatchTask';
import FIRST_LATE_LEVEL from './FIRST_LATE_LEVEL';
import urgencyLevelOf from './urgencyLevelOf';
import BacklogMeter from './BacklogMeter';
import retryDelays from './retryDelays';
import type SidecarPeer from './SidecarPeer';

interface LoadShedderOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly policy: BatchPolicy;
  /** Sidecars that are linked. */
  readonly peers: () => Iterable<SidecarPeer>;
  /** Batches with tasks that wait for capacity, in no particular order. */
  readonly backlog: () => readonly Batch[];
  /** Sends the load of this entry to its successors. */
  readonly sendReport: (report: LoadReport) => void;
  /** Answers a batch of the backlog. */
  readonly finish: (batch: Batch, answer: BatchAnswer) => void;
}

/** The backlog of one service at this entry. */
interface ServiceBacklog {
  readonly meter: BacklogMeter;
  /** Since when some task has been waiting without a break; undefined while none is. */
  since: number | undefined;
}

/**
 * Load shedding: refuses batches early that would not be answered in useful time when load exceeds
 * capacity. It predicts starts from this entry's backlog and from the reports that other entries
 * send at short intervals while they have one. Nothing is refused while no task is waiting, and
 * only batches of which nothing has run are.
 */
export default class LoadShedder {
  private readonly backlogs = new Map<string, ServiceBacklog>();

  private readonly otherLoads: PeerLoads;

  /** Timer of the next check; set while tasks are waiting. */
  private checkTimer: Subscription | undefined;

  /** Whether other entries were notified of a backlog here. */
  private hasReported = false;

  /**
   * Batches that were accepted while others were waiting; counted by whether they are answered in
   * time.
   */
  private readonly accepted = new WeakSet<Batch>();

  private constructor(private readonly opts: LoadShedderOptions) {
    this.otherLoads = PeerLoads.create(opts.timer);
  }

  /** Creates a load shedder with empty backlogs. */
  static create(opts: LoadShedderOptions): LoadShedder {
    return new LoadShedder(opts);
  }

  /** Applies another entry's load report. */
  handleReport(entry: string, report: LoadReport): void {
    this.otherLoads.update(entry, report);
  }

  /** The refusal of a batch that has just arrived; undefined if it is accepted. */
  refusalOf(batch: Batch): BatchAnswer | undefined {
    if (!this.opts.policy.shouldRefuse) return undefined;
    const now = this.opts.timer.now();
    const { service } = batch.submission.queue;
    const waiting = this.batchesOf(service);
    if (waiting.length === 0 || this.hasFreeCapacity(batch)) return undefined;
    this.scheduleCheck();
    const refusal = this.refusalByPrediction(batch, this.loadOf(service, waiting, now), now, 1);
    if (!refusal) this.accepted.add(batch);
    return refusal;
  }

  /** Records that tasks of a batch were started. */
  started(batch: Batch, tasks: readonly BatchTask[]): void {
    if (!this.opts.policy.shouldRefuse) return;
    const now = this.opts.timer.now();
    const remainingMs = Math.max(...tasks.map(({ step }) => step.estimateMs));
    const level = urgencyLevelOf(batch, remainingMs, now);
    this.backlogOf(batch.submission.queue.service).meter.started(tasks, level, now);
  }

  /** Counts, for a batch that has its answer, whether it was answered in time. */
  answered(batch: Batch): void {
    if (!this.accepted.delete(batch)) return;
    const { metrics, timer } = this.opts;
    const tookMs = timer.now() - batch.arrivedAt;
    metrics?.add('batches_queued_total', 1, batch.submission.queue.name, outcomeOf(batch, tookMs));
  }

  /** Stops reports and checks. */
  stop(): void {
    this.checkTimer?.cancel();
  }

  private backlogOf(service: string): ServiceBacklog {
    const known = this.backlogs.get(service);
    if (known) return known;
    const waiting = { meter: BacklogMeter.create(), since: undefined };
    this.backlogs.set(service, waiting);
    return waiting;
  }

  private batchesOf(service: string): readonly Batch[] {
    return this.opts.backlog().filter(({ submission }) => submission.queue.service === service);
  }

  private loadOf(service: string, waiting: readonly Batch[], now: number): Load {
    const own = this.ownLoad(service, waiting, now);
    return this.opts.policy.poolLoads([
      { load: own, weight: 1 },
      ...this.otherLoads.forService(service),
    ]);
  }

  private ownLoad(service: string, waiting: readonly Batch[], now: number): Load {
    // Started batches are finished first, regardless of priority.
    const queuedTasks = waiting.map((batch) => ({
      ready: batch.ready,
      level: batch.hasNotRun ? urgencyLevelOf(batch, batch.longestReadyMs, now) : 0,
    }));
    return this.backlogOf(service).meter.load(queuedTasks, now);
  }

  private peersOf(wanted: string): readonly SidecarPeer[] {
    return [...this.opts.peers()].filter(({ service, isUsable }) => isUsable && service === wanted);
  }

  private hasFreeCapacity({ ready, submission }: Batch): boolean {
    const peers = this.peersOf(submission.queue.service);
    return ready.some(({ step }) => peers.some(({ free }) => free.covers(step.needs)));
  }

  private refusalByPrediction(
    batch: Batch,
    load: Load,
    now: number,
    shareAhead: number,
  ): BatchAnswer | undefined {
    const { policy, log, metrics } = this.opts;
    const { queue } = batch.submission;
    // Without a sidecar, as after a start, it is not known what can be served.
    const hasBackends = this.peersOf(queue.service).length > 0;
    if (!hasBackends || batch.objective.targetMs === 0) return undefined;
    const waitMs = predictQueueDelayMs(
      load,
      urgencyLevelOf(batch, batch.longestReadyMs, now),
      shareAhead,
    );
    const slackMs = batch.slackMs(now);
    const isWaiting = shareAhead < 1;
    const isContended = load.levels.some(
      ({ level, waitingMilli }) => level < FIRST_LATE_LEVEL && waitingMilli > 0,
    );
    const shortageMs = now - (this.backlogOf(queue.service).since ?? now);
    if (!policy.shouldRefuse?.({ waitMs, slackMs, shortageMs, isContended, isWaiting }))
      return undefined;
    const others = this.otherLoads.forService(queue.service);
    metrics?.add('batches_refused_early_total', 1, queue.name, others.length > 0 ? 'fleet' : 'own');
    const retryAfterMs = this.retryAfter(shortageMs);
    log.info('a batch is refused early', {
      request: batch.id,
      queue: queue.name,
      isWaiting,
      waitMs: Number.isFinite(waitMs) ? Math.round(waitMs) : 'no end',
      slackMs: Math.round(slackMs),
      heardOf: others.length,
      oldestReportMs: Math.round(Math.max(0, ...others.map(({ ageMs }) => ageMs))),
      retryAfterMs,
    });
    return { kind: 'not-run', reason: 'there will be no room for it in time', retryAfterMs };
  }

  /**
   * The predicted end of the shortage, plus up to as long again, so that callers retry one by one.
   * While more load arrives than there is capacity for, nothing indicates the end: the shortage is
   * presumed to last as long again as it has lasted.
   */
  private retryAfter(shortageMs: number): number {
    const endMs = Math.min(Math.max(retryDelays.minMs, shortageMs), retryDelays.maxMs);
    return Math.round(endMs * (1 + this.opts.random.unit()));
  }

  private scheduleCheck(): void {
    this.checkTimer ??= this.opts.timer.after(CHECK_INTERVAL_MS, () => {
      this.checkTimer = undefined;
      this.check();
    });
  }

  /**
   * Reports the backlogs to other entries, and refuses batches that will not be answered in time
   * any more.
   */
  private check(): void {
    const now = this.opts.timer.now();
    const backlogs = [...this.backlogs.keys()].map((service) => {
      const waiting = this.batchesOf(service);
      const known = this.backlogOf(service);
      known.since = waiting.length > 0 ? (known.since ?? now) : undefined;
      return { service, waiting };
    });
    const isWaiting = backlogs.some(({ waiting }) => waiting.length > 0);
    if (isWaiting || this.hasReported) this.sendReport(backlogs, now);
    this.hasReported = isWaiting;
    if (isWaiting) this.scheduleCheck();
    backlogs
      .filter(({ waiting }) => waiting.length > 0)
      .forEach((each) => this.refuseUntimely(each, now));
  }

  private sendReport(
    backlogs: readonly { readonly service: string; readonly waiting: readonly Batch[] }[],
    now: number,
  ): void {
    const services = backlogs.map(({ service, waiting }) => {
      const { levels } = this.ownLoad(service, waiting, now);
      return { service, levels: [...levels] };
    });
    this.opts.sendReport(create(LoadReportSchema, { services }));
  }

  private refuseUntimely(
    { service, waiting }: { service: string; waiting: readonly Batch[] },
    now: number,
  ): void {
    const load = this.loadOf(service, waiting, now);
    const unstarted = waiting.filter(({ hasNotRun }) => hasNotRun);
    const byLevel = new Map<number, Batch[]>();
    unstarted.forEach((batch) => {
      const level = urgencyLevelOf(batch, batch.longestReadyMs, now);
      byLevel.set(level, [...(byLevel.get(level) ?? []), batch]);
    });
    byLevel.forEach((batches) => {
      batches.sort((a, b) => a.slackMs(now) - b.slackMs(now));
      batches.forEach((batch, at) => {
        const refusal = this.refusalByPrediction(batch, load, now, at / batches.length);
        if (refusal) this.opts.finish(batch, refusal);
      });
    });
  }
}

/** Outcome of a batch relative to its latency target, as the documentation for users defines it. */
function outcomeOf({ answer, objective }: Batch, tookMs: number): string {
  if (answer?.kind !== 'completed') return answer?.kind ?? 'unknown';
  if (tookMs <= objective.targetMs) return 'in_aim';
  return tookMs <= objective.expiryMs ? 'late' : 'useless';
}

/** Interval of load reports and of the check of the backlog, ms. */
const CHECK_INTERVAL_MS = 100;
