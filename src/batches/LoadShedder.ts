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

interface SheddingOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics?: Metrics;
  readonly policy: BatchPolicy;
  /** Sidecars linked now. */
  readonly peers: () => Iterable<SidecarPeer>;
  /** Batches with tasks that wait for room, in no order. */
  readonly backlog: () => readonly Batch[];
  /** Tells the next entries of the load here. */
  readonly tell: (report: LoadReport) => void;
  /** Answers a batch in line. */
  readonly finish: (batch: Batch, answer: BatchAnswer) => void;
}

/** The line of one service here, with what tells how it moves. */
interface Line {
  readonly meter: BacklogMeter;
  /** Since when something waits; undefined while nothing does. */
  since: number | undefined;
}

/**
 * Refuses early what will not be served while its answer is of use, in a load above the room. It predicts starts by
 * this entry's line and by what other entries tell of theirs at short intervals while they have one. Nothing is
 * refused while nothing waits, and only batches of which nothing has run.
 */
export default class LoadShedder {
  private readonly lines = new Map<string, Line>();

  private readonly others: PeerLoads;

  /** Runs while something waits. */
  private beat: Subscription | undefined;

  /** Whether other entries were told of a line here. */
  private hasTold = false;

  /** Batches that were accepted while others waited, of which is counted whether they are served. */
  private readonly accepted = new WeakSet<Batch>();

  private constructor(private readonly opts: SheddingOptions) {
    this.others = PeerLoads.create(opts.timer);
  }

  /** Creates one with empty lines. */
  static create(opts: SheddingOptions): LoadShedder {
    return new LoadShedder(opts);
  }

  /** Takes what another entry tells of its load. */
  handleReport(entry: string, report: LoadReport): void {
    this.others.update(entry, report);
  }

  /** A batch has arrived: returns why it is refused, if it is. */
  refusalOf(batch: Batch): BatchAnswer | undefined {
    if (!this.opts.policy.shouldRefuse) return undefined;
    const now = this.opts.timer.now();
    const { service } = batch.submission.queue;
    const line = this.waiting(service);
    if (line.length === 0 || this.hasRoom(batch)) return undefined;
    this.lookSoon();
    const refusal = this.judge(batch, this.loadOf(service, line, now), now, 1);
    if (!refusal) this.accepted.add(batch);
    return refusal;
  }

  /** Tasks of a batch were started. */
  started(batch: Batch, tasks: readonly BatchTask[]): void {
    if (!this.opts.policy.shouldRefuse) return;
    const now = this.opts.timer.now();
    const restMs = Math.max(...tasks.map(({ step }) => step.estimateMs));
    const level = urgencyLevelOf(batch, restMs, now);
    this.lineOf(batch.submission.queue.service).meter.started(tasks, level, now);
  }

  /** A batch has its answer: counts whether it was served as its acceptance promised. */
  answered(batch: Batch): void {
    if (!this.accepted.delete(batch)) return;
    const { metrics, timer } = this.opts;
    const tookMs = timer.now() - batch.arrivedAt;
    metrics?.add('batches_queued_total', 1, batch.submission.queue.name, outcomeOf(batch, tookMs));
  }

  /** Ends reports and looks. */
  stop(): void {
    this.beat?.cancel();
  }

  private lineOf(service: string): Line {
    const known = this.lines.get(service);
    if (known) return known;
    const line = { meter: BacklogMeter.create(), since: undefined };
    this.lines.set(service, line);
    return line;
  }

  private waiting(service: string): readonly Batch[] {
    return this.opts.backlog().filter(({ submission }) => submission.queue.service === service);
  }

  private loadOf(service: string, line: readonly Batch[], now: number): Load {
    const own = this.ownLoad(service, line, now);
    return this.opts.policy.poolLoads([
      { load: own, weight: 1 },
      ...this.others.forService(service),
    ]);
  }

  private ownLoad(service: string, line: readonly Batch[], now: number): Load {
    // What has begun is finished first, whatever its priority.
    const inLine = line.map((batch) => ({
      ready: batch.ready,
      level: batch.hasNotRun ? urgencyLevelOf(batch, batch.longestReadyMs, now) : 0,
    }));
    return this.lineOf(service).meter.load(inLine, now);
  }

  private peersOf(wanted: string): readonly SidecarPeer[] {
    return [...this.opts.peers()].filter(({ service, isUsable }) => isUsable && service === wanted);
  }

  private hasRoom({ ready, submission }: Batch): boolean {
    const peers = this.peersOf(submission.queue.service);
    return ready.some(({ step }) => peers.some(({ free }) => free.covers(step.needs)));
  }

  private judge(batch: Batch, load: Load, now: number, before: number): BatchAnswer | undefined {
    const { policy, log, metrics } = this.opts;
    const { queue } = batch.submission;
    // While no sidecar is there, as after a start, it is not known what can be served.
    const hasBackends = this.peersOf(queue.service).length > 0;
    if (!hasBackends || batch.objective.targetMs === 0) return undefined;
    const waitMs = predictQueueDelayMs(
      load,
      urgencyLevelOf(batch, batch.longestReadyMs, now),
      before,
    );
    const slackMs = batch.slackMs(now);
    const isWaiting = before < 1;
    const isContended = load.levels.some(
      ({ level, waitingMilli }) => level < FIRST_LATE_LEVEL && waitingMilli > 0,
    );
    const lastedMs = now - (this.lineOf(queue.service).since ?? now);
    if (!policy.shouldRefuse?.({ waitMs, slackMs, shortageMs: lastedMs, isContended, isWaiting }))
      return undefined;
    const others = this.others.forService(queue.service);
    metrics?.add('batches_refused_early_total', 1, queue.name, others.length > 0 ? 'fleet' : 'own');
    const retryAfterMs = this.returnAfter(lastedMs);
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
   * The predicted end of the shortage, and as long again over which callers come back one by one. While more comes than
   * there is room for nothing tells the end: it is taken to last as long again as it has lasted.
   */
  private returnAfter(lastedMs: number): number {
    const endMs = Math.min(Math.max(retryDelays.leastMs, lastedMs), retryDelays.mostMs);
    return Math.round(endMs * (1 + this.opts.random.unit()));
  }

  private lookSoon(): void {
    this.beat ??= this.opts.timer.after(BEAT_MS, () => {
      this.beat = undefined;
      this.look();
    });
  }

  /** Tells others of the lines here, and looks who in them is not served in time any more. */
  private look(): void {
    const now = this.opts.timer.now();
    const lines = [...this.lines.keys()].map((service) => {
      const line = this.waiting(service);
      const known = this.lineOf(service);
      known.since = line.length > 0 ? (known.since ?? now) : undefined;
      return { service, line };
    });
    const isWaiting = lines.some(({ line }) => line.length > 0);
    if (isWaiting || this.hasTold) this.tell(lines, now);
    this.hasTold = isWaiting;
    if (isWaiting) this.lookSoon();
    lines.filter(({ line }) => line.length > 0).forEach((each) => this.shed(each, now));
  }

  private tell(
    lines: readonly { readonly service: string; readonly line: readonly Batch[] }[],
    now: number,
  ): void {
    const services = lines.map(({ service, line }) => {
      const { levels } = this.ownLoad(service, line, now);
      return { service, levels: [...levels] };
    });
    this.opts.tell(create(LoadReportSchema, { services }));
  }

  private shed({ service, line }: { service: string; line: readonly Batch[] }, now: number): void {
    const load = this.loadOf(service, line, now);
    const unbegun = line.filter(({ hasNotRun }) => hasNotRun);
    const byLevel = new Map<number, Batch[]>();
    unbegun.forEach((batch) => {
      const level = urgencyLevelOf(batch, batch.longestReadyMs, now);
      byLevel.set(level, [...(byLevel.get(level) ?? []), batch]);
    });
    byLevel.forEach((batches) => {
      batches.sort((a, b) => a.slackMs(now) - b.slackMs(now));
      batches.forEach((batch, at) => {
        const refusal = this.judge(batch, load, now, at / batches.length);
        if (refusal) this.opts.finish(batch, refusal);
      });
    });
  }
}

/** Whether a batch was served as promised, by the users' terms. */
function outcomeOf({ answer, objective }: Batch, tookMs: number): string {
  if (answer?.kind !== 'completed') return answer?.kind ?? 'unknown';
  if (tookMs <= objective.targetMs) return 'in_aim';
  return tookMs <= objective.expiryMs ? 'late' : 'useless';
}

/** How often other entries are told of a line, and the line is looked through, ms. */
const BEAT_MS = 100;
