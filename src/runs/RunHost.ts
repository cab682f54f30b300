import type TimerService from '../core/TimerService';
import Resources from '../room/Resources';
import AnswerTimes from './AnswerTimes';
import BackendLife from './BackendLife';
import type BackendRunFailure from './BackendRunFailure';
import type BackendReport from './BackendReport';
import type RunBackend from './RunBackend';
import type EventLog from '../observe/EventLog';
import type RunRequest from './RunRequest';

interface RunHostOptions {
  readonly timer: TimerService;
  /** Makes the calls to the life of the backend server that sent the report. */
  readonly connect: (report: BackendReport) => RunBackend;
  readonly log: EventLog;
  /** Told when room, readiness or the backend server itself has changed. */
  readonly changed: () => void;
}

/**
 * The backend server beside this process, whichever life of it is there now. A heartbeat of an
 * unknown life is checked by a call before it counts, because one that was held up may arrive after
 * its sender was replaced.
 */
export default class RunHost {
  private life: BackendLife | undefined;

  /** Lives that are known to have ended, newest last. */
  private readonly dead = new Set<string>();

  private checking: string | undefined;

  private crashedAt = -Infinity;

  private isLeaving = false;

  private isZoneDrained = false;

  private constructor(private readonly opts: RunHostOptions) {}

  /** Creates a host without a backend server. */
  static create(opts: RunHostOptions): RunHost {
    return new RunHost(opts);
  }

  /** The life that is there now. */
  get current(): BackendLife | undefined {
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
    return this.life?.size ?? 0;
  }

  /** Takes a heartbeat. */
  hear(report: BackendReport): void {
    if (report.id === this.life?.report.id) {
      this.life.hear(report);
      return;
    }
    if (this.dead.has(report.id) || this.checking === report.id) return;
    this.check(report).catch((error: unknown) =>
      this.opts.log.warn('a heartbeat could not be checked', { backend: report.id, error }),
    );
  }

  /** The backend server says that it ends now. */
  left(id: string): void {
    if (id === this.life?.report.id) this.life.leave();
  }

  /** Starts a task or refuses it. */
  start(request: RunRequest, refuse: (reason: string) => void): void {
    if (!this.life) refuse('there is no backend server');
    else this.life.start(request);
  }

  /** Stops the runs of an owner, or those of them for which the predicate holds. */
  stop(owner: object, matches: (request: RunRequest) => boolean = () => true): void {
    this.life?.stop(owner, matches);
  }

  /** Whether runs of the owner are not certainly over. */
  hasRunsOf(owner: object): boolean {
    return this.life?.hasRunsOf(owner) === true;
  }

  /** What the owner's runs take, those that are being stopped included. */
  heldBy(owner: object): Resources {
    return this.life?.heldBy(owner) ?? Resources.none;
  }

  /** Takes no more tasks; what runs goes on. */
  leave(): void {
    this.isLeaving = true;
    this.opts.changed();
  }

  /** Whether operators have drained the availability zone: no tasks are taken then; what runs goes on. */
  drainZone(isDrained: boolean): void {
    this.isZoneDrained = isDrained;
    this.opts.changed();
  }

  /** Why nothing is started now whatever the backend server says, if so. */
  private get obstacle(): string | undefined {
    if (this.isLeaving) return 'this sidecar is leaving';
    return this.isZoneDrained ? 'the availability zone is drained' : undefined;
  }

  private async check(report: BackendReport): Promise<void> {
    this.checking = report.id;
    const backend = this.opts.connect(report);
    const kind = await this.look(backend);
    this.checking = undefined;
    const { log } = this.opts;
    if (kind === 'replaced') {
      log.info('a heartbeat of an ended backend server came late', { backend: report.id });
      this.remember(report.id);
      return;
    }
    if (kind === 'unanswered' || kind === 'closed') {
      log.warn('a new backend server does not answer; its next heartbeat is awaited', {
        backend: report.id,
        kind,
      });
      return;
    }
    this.takeOver(report, backend);
  }

  /** How a look at a backend server fails, if it does. A single answer may be lost, so it is asked again. */
  private async look(backend: RunBackend): Promise<BackendRunFailure['kind'] | undefined> {
    const times = AnswerTimes.create();
    for (let tries = 1; ; tries += 1) {
      const res = await backend.hold(0, 0, 0, times.timeoutMs(tries - 1));
      if (res.isOk()) return undefined;
      const { kind } = res.error;
      if (kind !== 'unanswered' || tries >= LOOKS) return kind;
    }
  }

  private takeOver(report: BackendReport, backend: RunBackend): void {
    const { timer, log, changed } = this.opts;
    this.life?.end('another life of it is there');
    log.info('a backend server has announced itself', {
      backend: report.id,
      service: report.service,
      cpuMilli: report.capacity.cpuMilli,
      clockMs: report.clockMs,
    });
    const life = BackendLife.begin({
      timer,
      log,
      report,
      backend,
      changed,
      obstacle: () => this.obstacle,
      hasCrashedLately: () => timer.now() - this.crashedAt < CRASHED_LATELY_MS,
      over: (isCrash) => this.ended(report.id, isCrash),
    });
    this.life = life;
    changed();
  }

  private ended(id: string, isCrash: boolean): void {
    if (isCrash) this.crashedAt = this.opts.timer.now();
    this.remember(id);
    if (this.life?.report.id === id) this.life = undefined;
  }

  private remember(id: string): void {
    this.dead.add(id);
    const [oldest] = this.dead;
    if (this.dead.size > REMEMBERED_LIVES && oldest !== undefined) this.dead.delete(oldest);
  }
}

/** Looks at a backend server that announces itself, before its next heartbeat is awaited. */
const LOOKS = 3;

/** After a crash, for how long the next one is taken for the backend server's own fault, ms. */
const CRASHED_LATELY_MS = 10_000;

/** Ended lives to remember; a heartbeat is late by seconds, in which only a few can end. */
const REMEMBERED_LIVES = 64;
