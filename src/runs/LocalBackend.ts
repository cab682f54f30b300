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

interface RunHostOptions {
  readonly timer: TimerService;
  /** Makes the calls to the life of the backend server that sent the report. */
  readonly connect: (report: BackendHeartbeat) => BackendRunClient;
  readonly log: EventLog;
  /** Told when room, readiness or the backend server itself has changed. */
  readonly changed: () => void;
}

/**
 * The backend server beside this process, whichever life of it is there now. A heartbeat of an
 * unknown life is checked by a call before it counts, because one that was held up may arrive after
 * its sender was replaced. A later life under the id of the one that is there ends that at once.
 */
export default class LocalBackend {
  private life: BackendIncarnation | undefined;

  private readonly ended = EndedIncarnations.create();

  private readonly unsettled: InDoubtRuns;

  /** Heartbeats that changed nothing. */
  readonly ignoredHeartbeats: IgnoredHeartbeats;

  /** The newest life whose heartbeat is being checked. */
  private checking: BackendHeartbeat | undefined;

  private crashedAt = -Infinity;

  private isLeaving = false;

  private isZoneDrained = false;

  private constructor(private readonly opts: RunHostOptions) {
    const { timer, log, changed } = opts;
    this.unsettled = InDoubtRuns.create({ timer, log, changed });
    this.ignoredHeartbeats = IgnoredHeartbeats.create(timer, log);
  }

  /** Creates a host without a backend server. */
  static create(opts: RunHostOptions): LocalBackend {
    return new LocalBackend(opts);
  }

  /** The life that is there now. */
  get current(): BackendIncarnation | undefined {
    return this.life;
  }

  /** Whether tasks are taken now. */
  get isAccepting(): boolean {
    return this.life?.isAccepting === true;
  }

  /** Whether nothing that an earlier process or link started can run any more. */
  get isCleared(): boolean {
    return this.life?.isCleared === true;
  }

  /** Runs that are not certainly over. */
  get size(): number {
    return (this.life?.size ?? 0) + this.unsettled.size;
  }

  /** Runs of ended lives that a next one may still start. */
  get inDoubtCount(): number {
    return this.unsettled.size;
  }

  /** Takes a heartbeat. */
  handleHeartbeat(report: BackendHeartbeat): void {
    const { life } = this;
    const relation = life ? compareIncarnations(report, life.heartbeat) : 'other';
    if (relation === 'earlier') this.ignoredHeartbeats.record('late', report);
    else if (relation === 'same') this.hearAgain(report);
    else {
      // Another writer's word is checked before it ends anything.
      const endsLife = relation === 'later' && !this.ended.has(report);
      if (endsLife && !isForeign(report, life!.heartbeat)) {
        life!.end('it has started again under its id', 'reborn');
      }
      this.announce(report);
    }
  }

  /** The backend server, or the life of it that started then, says that it ends now. */
  handleLeaving(id: string, born?: number): void {
    if (this.life && compareIncarnations({ id, born }, this.life.heartbeat) === 'same')
      this.life.handleLeaving();
  }

  /** Starts a task or refuses it. */
  start(request: RunRequest, refuse: (reason: string) => void): void {
    if (!this.life) refuse('there is no backend server');
    else this.life.start(request);
  }

  /** Stops the runs of an owner, or those of them for which the predicate holds. */
  stop(
    owner: object,
    cause: StopCause,
    matches: (request: RunRequest) => boolean = () => true,
  ): void {
    this.life?.stop(owner, cause, matches);
  }

  /** Whether runs of the owner are not certainly over. */
  hasRunsOf(owner: object): boolean {
    return this.life?.hasRunsOf(owner) === true || this.unsettled.hasRunsOf(owner);
  }

  /** Whether tasks of the step of a batch run there. */
  hasRunsOfStep(batch: string, step: number): boolean {
    return this.life?.hasRunsOfStep(batch, step) === true;
  }

  /** What the owner's runs take, those that are being stopped included. */
  allocatedTo(owner: object): Resources {
    return this.life?.allocatedTo(owner) ?? Resources.none;
  }

  /** Takes no more tasks; what runs goes on. */
  stopAccepting(): void {
    this.isLeaving = true;
    this.opts.changed();
  }

  /** Whether operators have drained the availability zone: no tasks are taken then; what runs goes on. */
  setZoneDrained(isDrained: boolean): void {
    this.isZoneDrained = isDrained;
    this.opts.changed();
  }

  /** Why nothing is started now whatever the backend server says, if so. */
  private get obstacle(): string | undefined {
    if (this.isLeaving) return 'this sidecar is leaving';
    return this.isZoneDrained ? 'the availability zone is drained' : undefined;
  }

  private hearAgain(report: BackendHeartbeat): void {
    const { life } = this;
    if (!life) return;
    if (isForeign(report, life.heartbeat)) this.ignoredHeartbeats.record('foreign', report);
    else life.handleHeartbeat(report);
  }

  private announce(report: BackendHeartbeat): void {
    const { checking, ended } = this;
    if (ended.has(report)) {
      this.ignoredHeartbeats.record('late', report);
      return;
    }
    if (checking && hasCome(report, checking)) return;
    this.check(report).catch((error: unknown) =>
      this.opts.log.warn('a heartbeat could not be checked', { backend: report.id, error }),
    );
  }

  private async check(report: BackendHeartbeat): Promise<void> {
    this.checking = report;
    const { connect, log } = this.opts;
    const { id, born } = report;
    const backend = IncarnationClient.of(connect(report), born);
    const kind = await this.look(backend);
    if (this.checking === report) this.checking = undefined;
    if (kind === 'replaced' || kind === 'reborn') {
      log.info('a heartbeat of an ended backend server came late', { backend: id, born, kind });
      this.ended.add(report);
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
    if (!this.isOutdated(report)) this.takeOver(report, backend);
  }

  /** Whether a later life under the same id has announced itself while this one was checked. */
  private isOutdated(report: BackendHeartbeat): boolean {
    const newer = [this.checking, this.life?.heartbeat];
    return newer.some((other) => other && hasCome(report, other));
  }

  /** How a look at a backend server fails, if it does. A single answer may be lost, so it is asked again. */
  private async look(backend: BackendRunClient): Promise<BackendRunFailure['kind'] | undefined> {
    const times = AnswerTimeouts.create();
    for (let tries = 1; ; tries += 1) {
      const res = await backend.poll(0, 0, 0, times.timeoutMs(tries - 1));
      if (res.isOk()) return undefined;
      const { kind } = res.error;
      if (kind !== 'unanswered' || tries >= LOOKS) return kind;
    }
  }

  private takeOver(report: BackendHeartbeat, backend: IncarnationClient): void {
    const { timer, log } = this.opts;
    const { id, born } = report;
    const { life: before } = this;
    before?.end('another life of it is there', endBy(report, before.heartbeat));
    log.info('a backend server has announced itself', {
      backend: id,
      born,
      service: report.service,
      cpuMilli: report.capacity.cpuMilli,
      clockMs: report.clockMs,
    });
    const life = BackendIncarnation.begin({
      timer,
      log,
      report,
      backend,
      previousToken: this.ended.tokenOf(id),
      onChange: () => this.lifeChanged(),
      startBlocker: () => this.obstacle,
      hasCrashedRecently: () => timer.now() - this.crashedAt < CRASHED_LATELY_MS,
      onEnded: (remains) => this.lifeEnded(report, remains),
    });
    this.life = life;
    this.lifeChanged();
  }

  private lifeChanged(): void {
    if (this.life && this.isCleared) this.unsettled.resolve(this.life.heartbeat.address);
    this.opts.changed();
  }

  private lifeEnded(report: BackendHeartbeat, remains: IncarnationOutcome): void {
    if (remains.isCrash) this.crashedAt = this.opts.timer.now();
    if (!remains.isAbandoned) this.ended.add(report, remains.token, remains.successorBorn);
    this.unsettled.add(remains);
    if (this.life && compareIncarnations(report, this.life.heartbeat) === 'same')
      this.life = undefined;
  }
}

/** Whether a life, or a later one under its id, is the one given. */
function hasCome(report: BackendHeartbeat, known: BackendHeartbeat): boolean {
  const relation = compareIncarnations(report, known);
  return relation === 'same' || relation === 'earlier';
}

/** How a life has ended when another has answered. */
function endBy(report: BackendHeartbeat, before: BackendHeartbeat): IncarnationEnd {
  if (report.id === before.id) return 'reborn';
  return report.address === before.address ? 'replaced' : 'displaced';
}

/** Whether a heartbeat tells what cannot change in a life: another writer has put it together. */
function isForeign(report: BackendHeartbeat, known: BackendHeartbeat): boolean {
  return report.service !== known.service || report.address !== known.address;
}

/** Looks at a backend server that announces itself, before its next heartbeat is awaited. */
const LOOKS = 3;

/** After a crash, for how long the next one is taken for the backend server's own fault, ms. */
const CRASHED_LATELY_MS = 10_000;
