import type { Result, ResultAsync } from 'neverthrow';
import type TimerService from '../core/TimerService';
import { RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type AnswerTimeouts from './AnswerTimeouts';
import AttemptNumbers from './AttemptNumbers';
import type BackendLease from './BackendLease';
import type BackendLiveness from './BackendLiveness';
import type BackendRefusal from './BackendRefusal';
import type BackendRunFailure from './BackendRunFailure';
import type ActiveRuns from './ActiveRuns';
import type BackendRunClient from './BackendRunClient';
import runLimits from './runLimits';
import type RunId from './RunId';
import type RunRequest from './RunRequest';
import type RunState from './RunState';
import type StopCause from './StopCause';
import taskKey from './taskKey';

interface RunCommandsOptions {
  readonly timer: TimerService;
  readonly backend: BackendRunClient;
  readonly lease: BackendLease;
  readonly liveness: BackendLiveness;
  readonly activeRuns: ActiveRuns;
  readonly timeouts: AnswerTimeouts;
  readonly log: EventLog;
  /** Told that a look is wanted soon: something was started or stopped. */
  readonly pollSoon: () => void;
  /** Told of an error that nothing here handles. */
  readonly onError: (error: unknown) => void;
}

/**
 * Sends starts and stops to a backend server, each by a task of its own, until it is known what became
 * of them. A start without an answer may be carried out later, so it is stopped before it counts as over.
 */
export default class RunCommands {
  private readonly attempts = AttemptNumbers.create();

  private constructor(private readonly opts: RunCommandsOptions) {}

  /** Creates the orders to one life of a backend server. */
  static create(opts: RunCommandsOptions): RunCommands {
    return new RunCommands(opts);
  }

  /** Takes room for a run and sends its start. */
  start(request: RunRequest): void {
    const { activeRuns, pollSoon, onError, timer } = this.opts;
    const { batch, step, index } = request;
    const attempt = this.attempts.allocate(taskKey(request), request.attempt);
    const state: RunState = {
      request,
      run: { batch, step, index, attempt },
      startedAt: timer.now(),
      mayHaveStarted: false,
      isConfirmed: false,
      confirmedAtPoll: 0,
      stop: undefined,
      percentDone: 0,
    };
    activeRuns.add(state);
    pollSoon();
    this.sendStart(state).catch(onError);
  }

  /** Stops a run; it is over once a look proves that. */
  stop(state: RunState, cause: StopCause): void {
    if (state.stop) return;
    state.stop = { cause, requestedAt: this.opts.timer.now() };
    this.sendStop(state).catch(this.opts.onError);
  }

  /** Something runs there that is not held; whatever started it, it must end. */
  stopUnknown(run: RunId): void {
    const { log, backend, lease, timeouts } = this.opts;
    log.warn('an unknown run is stopped', { ...run });
    backend.stop(run, lease.token, timeouts.timeoutMs()).match(
      () => undefined,
      // It is seen again with the next look, and stopped again.
      () => undefined,
    );
  }

  private async sendStart(first: RunState): Promise<void> {
    const { backend, activeRuns, lease, log, liveness, timer } = this.opts;
    let state = first;
    let mayBeExecutedLater = false;
    for (let tries = 0; tries < runLimits.maxStartTries; tries += 1) {
      // It may have been stopped, or its life have ended, while this waited to send it again.
      if (!activeRuns.includes(state) || state.stop) return;
      const { run, request } = state;
      if (!request.owner.isConfirmed) break;
      const leaseUntil = lease.renew(activeRuns.silentMs);
      const sentAt = timer.now();
      state.mayHaveStarted = true;
      const res = await this.callWithTimeout(tries, (timeoutMs) =>
        backend.start(run, request.spec, leaseUntil, lease.token, timeoutMs),
      );
      if (!activeRuns.includes(state)) return;
      if (res.isErr()) {
        state.mayHaveStarted = mayBeExecutedLater || !isKnownNotExecuted(res.error);
        if (liveness.endsWithFailure(res.error)) return;
        log.warn('a start was not answered', {
          ...logFields(state),
          tries,
          reason: res.error.reason,
        });
        if (state.stop) return;
        if (res.error.kind === 'unanswered') mayBeExecutedLater = true;
        await this.delayRetry(res.error, sentAt);
        continue;
      }
      const answer = res.value;
      liveness.recordAnswer();
      if (answer === 'started') {
        activeRuns.confirm(state);
        return;
      }
      log.warn('the backend server refused a start', { ...logFields(state), answer });
      // The stop under way will show how it ends: an earlier start may have been carried out.
      if (state.stop) return;
      if (tries > 0 && answer === 'spent') break;
      if (!retryableRefusals[answer]) {
        // An earlier start may still be on its way, so this refusal does not prove that none will run.
        if (mayBeExecutedLater) break;
        activeRuns.finish(state, RunOutcome.REFUSED, answer);
        return;
      }
      if (answer === 'fenced') lease.raiseToken();
      if (answer === 'spent') state = this.withNextAttempt(state);
    }
    if (!activeRuns.includes(state)) return;
    this.stop(state, state.request.owner.isConfirmed ? 'unanswered' : 'entry_silent');
  }

  /** Waits for an answer as long as answers take; that to a first try tells how long they do. */
  private async callWithTimeout<Answer>(
    triesBefore: number,
    call: (timeoutMs: number) => ResultAsync<Answer, BackendRunFailure>,
  ): Promise<Result<Answer, BackendRunFailure>> {
    const { timer, timeouts } = this.opts;
    const sentAt = timer.now();
    const res = await call(timeouts.timeoutMs(triesBefore));
    if (res.isOk() && triesBefore === 0) timeouts.addSample(timer.now() - sentAt);
    return res;
  }

  /** The same start with the next attempt number. */
  private withNextAttempt(state: RunState): RunState {
    const { request, run } = state;
    const attempt = this.attempts.allocate(taskKey(request), request.attempt);
    const next = { ...state, run: { ...run, attempt } };
    this.opts.activeRuns.add(next);
    return next;
  }

  private async sendStop(state: RunState): Promise<void> {
    const { backend, activeRuns, lease, log, pollSoon, liveness, timer } = this.opts;
    for (let tries = 0; activeRuns.includes(state); tries += 1) {
      const sentAt = timer.now();
      const res = await this.callWithTimeout(tries, (timeoutMs) =>
        backend.stop(state.run, lease.token, timeoutMs),
      );
      if (res.isOk()) {
        activeRuns.stopAcknowledged(state);
        pollSoon();
        return;
      }
      if (liveness.endsWithFailure(res.error)) return;
      log.warn('a stop was not answered', { ...logFields(state), tries, reason: res.error.reason });
      await this.delayRetry(res.error, sentAt);
    }
  }

  /**
   * Waits before a call is made again. One that was not answered in its time has waited already; one whose
   * connection broke has not, and would be made again and again, each time over a new connection.
   */
  private async delayRetry({ kind }: BackendRunFailure, sentAt: number): Promise<void> {
    const { timer } = this.opts;
    const waitedMs = kind === 'unanswered' ? timer.now() - sentAt : 0;
    if (waitedMs < MIN_ANSWER_WAIT_MS) await timer.sleep(runLimits.retryDelayMs);
  }
}

/** A call that failed sooner was not given the time for its answer, ms. */
const MIN_ANSWER_WAIT_MS = 15;

/** Whether a call that failed has certainly done nothing, and will not. */
function isKnownNotExecuted({ kind }: BackendRunFailure): boolean {
  return kind === 'closed' || kind === 'replaced';
}

/** Refusals that a second start, with a new number, token or lease, may not meet. */
const retryableRefusals: Readonly<Record<BackendRefusal, boolean>> = {
  fenced: true,
  spent: true,
  late: true,
  full: false,
  unfit: false,
};

function logFields({ run, stop }: RunState): Readonly<Record<string, unknown>> {
  return { ...run, isStopping: stop !== undefined };
}
