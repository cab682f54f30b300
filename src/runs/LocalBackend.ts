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
  /** Creates the client of the incarnation that sent the heartbeat. */
  readonly connect: (heartbeat: BackendHeartbeat) => BackendRunClient;
  readonly log: EventLog;
  /** Called when free capacity, readiness or the backend server itself has changed. */
  readonly onChange: () => void;
}

/**
 * The backend server next to this sidecar, in its current incarnation. A heartbeat of an unknown incarnation is
 * verified by a call first, because a delayed one may arrive after its sender was replaced. A later incarnation
 * under the same id ends the current one at once.
 */
export default class LocalBackend {
  private incarnation: BackendIncarnation | undefined;

  private readonly endedIncarnations = EndedIncarnations.create();

  private readonly inDoubt: InDoubtRuns;

  /** Counts heartbeats that were ignored. */
  readonly ignoredHeartbeats: IgnoredHeartbeats;

  /** The latest incarnation whose heartbeat is being verified. */
  private candidate: BackendHeartbeat | undefined;

  private crashedAt = -Infinity;

  private isShuttingDown = false;

  private isZoneDrained = false;

  private constructor(private readonly opts: LocalBackendOptions) {
    const { timer, log, onChange } = opts;
    this.inDoubt = InDoubtRuns.create({ timer, log, onChange });
    this.ignoredHeartbeats = IgnoredHeartbeats.create(timer, log);
  }

  /** Creates it without a current incarnation. */
  static create(opts: LocalBackendOptions): LocalBackend {
    return new LocalBackend(opts);
  }

  /** The current incarnation. */
  get current(): BackendIncarnation | undefined {
    return this.incarnation;
  }

  /** Whether tasks are accepted now. */
  get isAccepting(): boolean {
    return this.incarnation?.isAccepting === true;
  }

  /** Whether nothing that an earlier process or link started can still run. */
  get isCleared(): boolean {
    return this.incarnation?.isCleared === true;
  }

  /** Runs that are not known to have ended. */
  get size(): number {
    return (this.incarnation?.size ?? 0) + this.inDoubt.size;
  }

  /** Runs of ended incarnations that the next one may still start. */
  get inDoubtCount(): number {
    return this.inDoubt.size;
  }

  /** Handles a heartbeat. */
  handleHeartbeat(heartbeat: BackendHeartbeat): void {
    const { incarnation } = this;
    const relation = incarnation ? compareIncarnations(heartbeat, incarnation.heartbeat) : 'other';
    if (relation === 'earlier') this.ignoredHeartbeats.record('late', heartbeat);
    else if (relation === 'same') this.updateCurrent(heartbeat);
    else {
      // A heartbeat from a different sender is verified before it ends anything.
      const endsCurrent = relation === 'later' && !this.endedIncarnations.has(heartbeat);
      if (endsCurrent && !isForeign(heartbeat, incarnation!.heartbeat)) {
        incarnation!.end('it has started again under its id', 'reborn');
      }
      this.handleOther(heartbeat);
    }
  }

  /** The backend server, or its incarnation with this start time, announces that it shuts down now. */
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

  /** Stops the owner's runs, or those that match. */
  stop(
    owner: object,
    cause: StopCause,
    matches: (request: RunRequest) => boolean = () => true,
  ): void {
    this.incarnation?.stop(owner, cause, matches);
  }

  /** Whether the owner has runs that are not known to have ended. */
  hasRunsOf(owner: object): boolean {
    return this.incarnation?.hasRunsOf(owner) === true || this.inDoubt.hasRunsOf(owner);
  }

  /** Whether tasks of the step of a batch run there. */
  hasRunsOfStep(batch: string, step: number): boolean {
    return this.incarnation?.hasRunsOfStep(batch, step) === true;
  }

  /** The capacity that the owner's runs occupy, including those being stopped. */
  allocatedTo(owner: object): Resources {
    return this.incarnation?.allocatedTo(owner) ?? Resources.none;
  }

  /** Accepts no more tasks; active runs go on. */
  stopAccepting(): void {
    this.isShuttingDown = true;
    this.opts.onChange();
  }

  /** Sets whether operators have drained the availability zone: then no tasks are accepted, and active runs go on. */
  setZoneDrained(isDrained: boolean): void {
    this.isZoneDrained = isDrained;
    this.opts.onChange();
  }

  /** Why nothing may be started now for reasons outside the backend server, if so. */
  private get startBlocker(): string | undefined {
    if (this.isShuttingDown) return 'this sidecar is leaving';
    return this.isZoneDrained ? 'the availability zone is drained' : undefined;
  }

  private updateCurrent(heartbeat: BackendHeartbeat): void {
    const { incarnation } = this;
    if (!incarnation) return;
    if (isForeign(heartbeat, incarnation.heartbeat))
      this.ignoredHeartbeats.record('foreign', heartbeat);
    else incarnation.handleHeartbeat(heartbeat);
  }

  private handleOther(heartbeat: BackendHeartbeat): void {
    const { candidate, endedIncarnations } = this;
    if (endedIncarnations.has(heartbeat)) {
      this.ignoredHeartbeats.record('late', heartbeat);
      return;
    }
    if (candidate && isSameOrEarlier(heartbeat, candidate)) return;
    this.verify(heartbeat).catch((error: unknown) =>
      this.opts.log.warn('a heartbeat could not be verified', { backend: heartbeat.id, error }),
    );
  }

  private async verify(heartbeat: BackendHeartbeat): Promise<void> {
    this.candidate = heartbeat;
    const { connect, log } = this.opts;
    const { id, born } = heartbeat;
    const backend = IncarnationClient.of(connect(heartbeat), born);
    const kind = await this.probe(backend);
    if (this.candidate === heartbeat) this.candidate = undefined;
    if (kind === 'replaced' || kind === 'reborn') {
      log.info('a late heartbeat of an ended backend server was ignored', {
        backend: id,
        born,
        kind,
      });
      this.endedIncarnations.add(heartbeat);
      return;
    }
    if (kind === 'unanswered' || kind === 'closed') {
      log.warn('a new backend server does not answer; waiting for its next heartbeat', {
        backend: id,
        born,
        kind,
      });
      return;
    }
    if (!this.isSuperseded(heartbeat)) this.replaceIncarnation(heartbeat, backend);
  }

  /** Whether a later incarnation under the same id has announced itself while this one was verified. */
  private isSuperseded(heartbeat: BackendHeartbeat): boolean {
    const newer = [this.candidate, this.incarnation?.heartbeat];
    return newer.some((other) => other && isSameOrEarlier(heartbeat, other));
  }

  /**
   * Calls a backend server and returns how that fails, if it does. A single answer may be lost, so the call is
   * retried.
   */
  private async probe(backend: BackendRunClient): Promise<BackendRunFailure['kind'] | undefined> {
    const timeouts = AnswerTimeouts.create();
    for (let tries = 1; ; tries += 1) {
      const res = await backend.poll(0, 0, 0, timeouts.timeoutMs(tries - 1));
      if (res.isOk()) return undefined;
      const { kind } = res.error;
      if (kind !== 'unanswered' || tries >= MAX_PROBES) return kind;
    }
  }

  private replaceIncarnation(heartbeat: BackendHeartbeat, backend: IncarnationClient): void {
    const { timer, log } = this.opts;
    const { id, born } = heartbeat;
    const { incarnation: previous } = this;
    previous?.end('another life of it is there', endKindOf(heartbeat, previous.heartbeat));
    log.info('a backend server has announced itself', {
      backend: id,
      born,
      service: heartbeat.service,
      cpuMilli: heartbeat.capacity.cpuMilli,
      clockMs: heartbeat.clockMs,
    });
    const incarnation = BackendIncarnation.begin({
      timer,
      log,
      heartbeat,
      backend,
      previousToken: this.endedIncarnations.tokenOf(id),
      onChange: () => this.handleIncarnationChange(),
      startBlocker: () => this.startBlocker,
      hasCrashedRecently: () => timer.now() - this.crashedAt < RECENT_CRASH_MS,
      onEnded: (outcome) => this.handleIncarnationEnd(heartbeat, outcome),
    });
    this.incarnation = incarnation;
    this.handleIncarnationChange();
  }

  private handleIncarnationChange(): void {
    if (this.incarnation && this.isCleared)
      this.inDoubt.resolve(this.incarnation.heartbeat.address);
    this.opts.onChange();
  }

  private handleIncarnationEnd(heartbeat: BackendHeartbeat, outcome: IncarnationOutcome): void {
    if (outcome.isCrash) this.crashedAt = this.opts.timer.now();
    if (!outcome.isAbandoned)
      this.endedIncarnations.add(heartbeat, outcome.token, outcome.successorBorn);
    this.inDoubt.add(outcome);
    if (this.incarnation && compareIncarnations(heartbeat, this.incarnation.heartbeat) === 'same')
      this.incarnation = undefined;
  }
}

/** Whether a heartbeat comes from the known incarnation, or from an earlier one under the same id. */
function isSameOrEarlier(heartbeat: BackendHeartbeat, known: BackendHeartbeat): boolean {
  const relation = compareIncarnations(heartbeat, known);
  return relation === 'same' || relation === 'earlier';
}

/** How an incarnation has ended when another has answered. */
function endKindOf(heartbeat: BackendHeartbeat, previous: BackendHeartbeat): IncarnationEnd {
  if (heartbeat.id === previous.id) return 'reborn';
  return heartbeat.address === previous.address ? 'replaced' : 'displaced';
}

/**
 * Whether a heartbeat differs in fields that cannot change within an incarnation: it comes from a different sender.
 */
function isForeign(heartbeat: BackendHeartbeat, known: BackendHeartbeat): boolean {
  return heartbeat.service !== known.service || heartbeat.address !== known.address;
}

/** Calls to a backend server that has announced itself, before its next heartbeat is awaited. */
const MAX_PROBES = 3;

/** Time after a crash in which the next crash is attributed to the backend server itself, ms. */
const RECENT_CRASH_MS = 10_000;
