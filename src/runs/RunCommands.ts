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
  /** Called when something was started or stopped, so that a poll is due. */
  readonly pollSoon: () => void;
  /** Called with an unexpected error. */
  readonly onError: (error: unknown) => void;
}

/**
 * Sends starts and stops to a backend server and retries them until their outcome is known. A start without an
 * answer may be executed later, so the run is stopped before it counts as ended.
 */
export default class RunCommands {
  private readonly attempts = AttemptNumbers.create();

  private constructor(private readonly opts: RunCommandsOptions) {}

  /** Creates the commands to one incarnation of a backend server. */
  static create(opts: RunCommandsOptions): RunCommands {
    return new RunCommands(opts);
  }

  /** Allocates capacity for a run and sends its start. */
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

  /** Stops a run; it has ended once a poll verifies that. */
  stop(state: RunState, cause: StopCause): void {
    if (state.stop) return;
    state.stop = { cause, requestedAt: this.opts.timer.now() };
    this.sendStop(state).catch(this.opts.onError);
  }

  /** Stops a listed run that is not active here, whatever started it. */
  stopUnknown(run: RunId): void {
    const { log, backend, lease, timeouts } = this.opts;
    log.warn('an unknown run is stopped', { ...run });
    backend.stop(run, lease.token, timeouts.timeoutMs()).match(
      () => undefined,
      // The next poll lists it again, and it is stopped again.
      () => undefined,
    );
  }

  private async sendStart(first: RunState): Promise<void> {
    const { backend, activeRuns, lease, log, liveness, timer } = this.opts;
    let state = first;
    let mayBeExecutedLater = false;
    for (let tries = 0; tries < runLimits.maxStartTries; tries += 1) {
      // The run may have been stopped, or the incarnation have ended, during the delay before the retry.
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
      // The stop in progress will show how the run ends: an earlier start may have been executed.
      if (state.stop) return;
      if (tries > 0 && answer === 'spent') break;
      if (!retryableRefusals[answer]) {
        // An earlier start may still be in flight, so this refusal does not prove that none will be executed.
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

  /** Makes a call with the current timeout; only the answer to a first try gives a timing sample. */
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

  /** Returns the same run with the next attempt number. */
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
   * Waits before a call is retried. One that timed out has waited already; one whose connection broke has not,
   * and would be retried in a tight loop, each time over a new connection.
   */
  private async delayRetry({ kind }: BackendRunFailure, sentAt: number): Promise<void> {
    const { timer } = this.opts;
    const waitedMs = kind === 'unanswered' ? timer.now() - sentAt : 0;
    if (waitedMs < MIN_ANSWER_WAIT_MS) await timer.sleep(runLimits.retryDelayMs);
  }
}

/** A call that failed sooner than this did not wait for its answer, ms. */
const MIN_ANSWER_WAIT_MS = 15;

/** Whether a failed call is known not to have been executed, now or later. */
function isKnownNotExecuted({ kind }: BackendRunFailure): boolean {
  return kind === 'closed' || kind === 'replaced';
}

/** Refusals that may not recur for a second start with a new number, token or lease. */
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
