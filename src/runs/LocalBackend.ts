import type TimerService from '../core/TimerService';
import Resources from '../room/Resources';
import type EventLog from '../observe/EventLog';
import AnswerTimeouts from './AnswerTimeouts';
import BackendIncarnation from './BackendIncarnation';
import type BackendHeartbeat from './BackendHeartbeat';
import type BackendRunFailure from './BackendRunFailure';
import compareIncarnations from './compareIncarnations';
import EndedIncarnations from './EndedIncarnations';
import IgnoredHeartbeats from './IgnoredHeartbeats';
import IncarnationClient from './IncarnationClient';
import type IncarnationEnd from './IncarnationEnd';
import type IncarnationOutcome from './IncarnationOutcome';
import type BackendRunClient from './BackendRunClient';
import type RunRequest from './RunRequest';
import type StopCause from './StopCause';
import InDoubtRuns from './InDoubtRuns';

interface LocalBackendOptions {
  readonly timer: TimerService;
  /** Makes the calls to the life of the backend server that sent the report. */
  readonly connect: (report: BackendHeartbeat) => BackendRunClient;
  readonly log: EventLog;
  /** Told when room, readiness or the backend server itself has changed. */
  readonly onChange: () => void;
}

/**
 * The backend server beside this process, whichever life of it is there now. A heartbeat of an
 * unknown life is checked by a call before it counts, because one that was held up may arrive after
 * its sender was replaced. A later life under the id of the one that is there ends that at once.
 */
export default class LocalBackend {
  private incarnation: BackendIncarnation | undefined;

  private readonly endedIncarnations = EndedIncarnations.create();

  private readonly inDoubt: InDoubtRuns;

  /** Heartbeats that changed nothing. */
  readonly ignoredHeartbeats: IgnoredHeartbeats;

  /** The newest life whose heartbeat is being checked. */
  private candidate: BackendHeartbeat | undefined;

  private crashedAt = -Infinity;

  private isShuttingDown = false;

  private isZoneDrained = false;

  private constructor(private readonly opts: LocalBackendOptions) {
    const { timer, log, onChange } = opts;
    this.inDoubt = InDoubtRuns.create({ timer, log, onChange });
    this.ignoredHeartbeats = IgnoredHeartbeats.create(timer, log);
  }

  /** Creates a host without a backend server. */
  static create(opts: LocalBackendOptions): LocalBackend {
    return new LocalBackend(opts);
  }

  /** The life that is there now. */
  get current(): BackendIncarnation | undefined {
    return this.incarnation;
  }

  /** Whether tasks are taken now. */
  get isAccepting(): boolean {
    return this.incarnation?.isAccepting === true;
  }

  /** Whether nothing that an earlier process or link started can run any more. */
  get isCleared(): boolean {
    return this.incarnation?.isCleared === true;
  }

  /** Runs that are not certainly over. */
  get size(): number {
    return (this.incarnation?.size ?? 0) + this.inDoubt.size;
  }

  /** Runs of ended lives that a next one may still start. */
  get inDoubtCount(): number {
    return this.inDoubt.size;
  }

  /** Takes a heartbeat. */
  handleHeartbeat(report: BackendHeartbeat): void {
    const { incarnation } = this;
    const relation = incarnation ? compareIncarnations(report, incarnation.heartbeat) : 'other';
    if (relation === 'earlier') this.ignoredHeartbeats.record('late', report);
    else if (relation === 'same') this.updateCurrent(report);
    else {
      // Another writer's word is checked before it ends anything.
      const endsCurrent = relation === 'later' && !this.endedIncarnations.has(report);
      if (endsCurrent && !isForeign(report, incarnation!.heartbeat)) {
        incarnation!.end('it has started again under its id', 'reborn');
      }
      this.handleOther(report);
    }
  }

  /** The backend server, or the life of it that started then, says that it ends now. */
  handleLeaving(id: string, born?: number): void {
    if (
      this.incarnation &&
      compareIncarnations({ id, born }, this.incarnation.heartbeat) === 'same'
    )
      this.incarnation.handleLeaving();
  }

  /** Starts a task or refuses it. */
  start(request: RunRequest, refuse: (reason: string) => void): void {
    if (!this.incarnation) refuse('there is no backend server');
    else this.incarnation.start(request);
  }

  /** Stops the runs of an owner, or those of them for which the predicate holds. */
  stop(
    owner: object,
    cause: StopCause,
    matches: (request: RunRequest) => boolean = () => true,
  ): void {
    this.incarnation?.stop(owner, cause, matches);
  }

  /** Whether runs of the owner are not certainly over. */
  hasRunsOf(owner: object): boolean {
    return this.incarnation?.hasRunsOf(owner) === true || this.inDoubt.hasRunsOf(owner);
  }

  /** Whether tasks of the step of a batch run there. */
  hasRunsOfStep(batch: string, step: number): boolean {
    return this.incarnation?.hasRunsOfStep(batch, step) === true;
  }

  /** What the owner's runs take, those that are being stopped included. */
  allocatedTo(owner: object): Resources {
    return this.incarnation?.allocatedTo(owner) ?? Resources.none;
  }

  /** Takes no more tasks; what runs goes on. */
  stopAccepting(): void {
    this.isShuttingDown = true;
    this.opts.onChange();
  }

  /** Whether operators have drained the availability zone: no tasks are taken then; what runs goes on. */
  setZoneDrained(isDrained: boolean): void {
    this.isZoneDrained = isDrained;
    this.opts.onChange();
  }

  /** Why nothing is started now whatever the backend server says, if so. */
  private get startBlocker(): string | undefined {
    if (this.isShuttingDown) return 'this sidecar is leaving';
    return this.isZoneDrained ? 'the availability zone is drained' : undefined;
  }

  private updateCurrent(report: BackendHeartbeat): void {
    const { incarnation } = this;
    if (!incarnation) return;
    if (isForeign(report, incarnation.heartbeat)) this.ignoredHeartbeats.record('foreign', report);
    else incarnation.handleHeartbeat(report);
  }

  private handleOther(report: BackendHeartbeat): void {
    const { candidate, endedIncarnations } = this;
    if (endedIncarnations.has(report)) {
      this.ignoredHeartbeats.record('late', report);
      return;
    }
    if (candidate && isSameOrEarlier(report, candidate)) return;
    this.verify(report).catch((error: unknown) =>
      this.opts.log.warn('a heartbeat could not be checked', { backend: report.id, error }),
    );
  }

  private async verify(report: BackendHeartbeat): Promise<void> {
    this.candidate = report;
    const { connect, log } = this.opts;
    const { id, born } = report;
    const backend = IncarnationClient.of(connect(report), born);
    const kind = await this.probe(backend);
    if (this.candidate === report) this.candidate = undefined;
    if (kind === 'replaced' || kind === 'reborn') {
      log.info('a heartbeat of an ended backend server came late', { backend: id, born, kind });
      this.endedIncarnations.add(report);
      return;
    }
    if (kind === 'unanswered' || kind === 'closed') {
      log.warn('a new backend server does not answer; its next heartbeat is awaited', {
        backend: id,
        born,
        kind,
      });
      return;
    }
    if (!this.isSuperseded(report)) this.replaceIncarnation(report, backend);
  }

  /** Whether a later life under the same id has announced itself while this one was checked. */
  private isSuperseded(report: BackendHeartbeat): boolean {
    const newer = [this.candidate, this.incarnation?.heartbeat];
    return newer.some((other) => other && isSameOrEarlier(report, other));
  }

  /** How a look at a backend server fails, if it does. A single answer may be lost, so it is asked again. */
  private async probe(backend: BackendRunClient): Promise<BackendRunFailure['kind'] | undefined> {
    const times = AnswerTimeouts.create();
    for (let tries = 1; ; tries += 1) {
      const res = await backend.poll(0, 0, 0, times.timeoutMs(tries - 1));
      if (res.isOk()) return undefined;
      const { kind } = res.error;
      if (kind !== 'unanswered' || tries >= MAX_PROBES) return kind;
    }
  }

  private replaceIncarnation(report: BackendHeartbeat, backend: IncarnationClient): void {
    const { timer, log } = this.opts;
    const { id, born } = report;
    const { incarnation: previous } = this;
    previous?.end('another life of it is there', endKindOf(report, previous.heartbeat));
    log.info('a backend server has announced itself', {
      backend: id,
      born,
      service: report.service,
      cpuMilli: report.capacity.cpuMilli,
      clockMs: report.clockMs,
    });
    const incarnation = BackendIncarnation.begin({
      timer,
      log,
      report,
      backend,
      previousToken: this.endedIncarnations.tokenOf(id),
      onChange: () => this.handleIncarnationChange(),
      startBlocker: () => this.startBlocker,
      hasCrashedRecently: () => timer.now() - this.crashedAt < RECENT_CRASH_MS,
      onEnded: (outcome) => this.handleIncarnationEnd(report, outcome),
    });
    this.incarnation = incarnation;
    this.handleIncarnationChange();
  }

  private handleIncarnationChange(): void {
    if (this.incarnation && this.isCleared)
      this.inDoubt.resolve(this.incarnation.heartbeat.address);
    this.opts.onChange();
  }

  private handleIncarnationEnd(report: BackendHeartbeat, outcome: IncarnationOutcome): void {
    if (outcome.isCrash) this.crashedAt = this.opts.timer.now();
    if (!outcome.isAbandoned)
      this.endedIncarnations.add(report, outcome.token, outcome.successorBorn);
    this.inDoubt.add(outcome);
    if (this.incarnation && compareIncarnations(report, this.incarnation.heartbeat) === 'same')
      this.incarnation = undefined;
  }
}

/** Whether a life, or a later one under its id, is the one given. */
function isSameOrEarlier(report: BackendHeartbeat, known: BackendHeartbeat): boolean {
  const relation = compareIncarnations(report, known);
  return relation === 'same' || relation === 'earlier';
}

/** How a life has ended when another has answered. */
function endKindOf(report: BackendHeartbeat, before: BackendHeartbeat): IncarnationEnd {
  if (report.id === before.id) return 'reborn';
  return report.address === before.address ? 'replaced' : 'displaced';
}

/** Whether a heartbeat tells what cannot change in a life: another writer has put it together. */
function isForeign(report: BackendHeartbeat, known: BackendHeartbeat): boolean {
  return report.service !== known.service || report.address !== known.address;
}

/** Looks at a backend server that announces itself, before its next heartbeat is awaited. */
const MAX_PROBES = 3;

/** After a crash, for how long the next one is taken for the backend server's own fault, ms. */
const RECENT_CRASH_MS = 10_000;
