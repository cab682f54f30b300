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

interface RunOrdersOptions {
  readonly timer: TimerService;
  readonly backend: BackendRunClient;
  readonly lease: BackendLease;
  readonly presence: BackendLiveness;
  readonly held: ActiveRuns;
  readonly times: AnswerTimeouts;
  readonly log: EventLog;
  /** Told that a look is wanted soon: something was started or stopped. */
  readonly lookSoon: () => void;
  /** Told of an error that nothing here handles. */
  readonly fail: (error: unknown) => void;
}

/**
 * Sends starts and stops to a backend server, each by a task of its own, until it is known what became
 * of them. A start without an answer may be carried out later, so it is stopped before it counts as over.
 */
export default class RunCommands {
  private readonly attempts = AttemptNumbers.create();

  private constructor(private readonly opts: RunOrdersOptions) {}

  /** Creates the orders to one life of a backend server. */
  static create(opts: RunOrdersOptions): RunCommands {
    return new RunCommands(opts);
  }

  /** Takes room for a run and sends its start. */
  start(request: RunRequest): void {
    const { held, lookSoon, fail, timer } = this.opts;
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
    held.add(state);
    lookSoon();
    this.send(state).catch(fail);
  }

  /** Stops a run; it is over once a look proves that. */
  stop(state: RunState, cause: StopCause): void {
    if (state.stop) return;
    state.stop = { cause, requestedAt: this.opts.timer.now() };
    this.sendStop(state).catch(this.opts.fail);
  }

  /** Something runs there that is not held; whatever started it, it must end. */
  stopUnknown(run: RunId): void {
    const { log, backend, lease, times } = this.opts;
    log.warn('an unknown run is stopped', { ...run });
    backend.stop(run, lease.token, times.timeoutMs()).match(
      () => undefined,
      // It is seen again with the next look, and stopped again.
      () => undefined,
    );
  }

  private async send(first: RunState): Promise<void> {
    const { backend, held, lease, log, presence, timer } = this.opts;
    let state = first;
    let isDoubtful = false;
    for (let tries = 0; tries < runLimits.startTries; tries += 1) {
      // It may have been stopped, or its life have ended, while this waited to send it again.
      if (!held.includes(state) || state.stop) return;
      const { run, request } = state;
      if (!request.owner.isConfirmed) break;
      const until = lease.renew(held.silentMs);
      const sentAt = timer.now();
      state.mayHaveStarted = true;
      const res = await this.timed(tries, (timeoutMs) =>
        backend.start(run, request.spec, until, lease.token, timeoutMs),
      );
      if (!held.includes(state)) return;
      if (res.isErr()) {
        state.mayHaveStarted = isDoubtful || !isNotCarriedOut(res.error);
        if (presence.endsWithFailure(res.error)) return;
        log.warn('a start was not answered', { ...logged(state), tries, reason: res.error.reason });
        if (state.stop) return;
        if (res.error.kind === 'unanswered') isDoubtful = true;
        await this.pauseAfter(res.error, sentAt);
        continue;
      }
      const answer = res.value;
      presence.recordAnswer();
      if (answer === 'started') {
        held.confirm(state);
        return;
      }
      log.warn('the backend server refused a start', { ...logged(state), answer });
      // The stop under way will show how it ends: an earlier start may have been carried out.
      if (state.stop) return;
      if (tries > 0 && answer === 'spent') break;
      if (!refusalsToTryAgain[answer]) {
        // An earlier start may still be on its way, so this refusal does not prove that none will run.
        if (isDoubtful) break;
        held.finish(state, RunOutcome.REFUSED, answer);
        return;
      }
      if (answer === 'fenced') lease.raiseToken();
      if (answer === 'spent') state = this.renumber(state);
    }
    if (!held.includes(state)) return;
    this.stop(state, state.request.owner.isConfirmed ? 'unanswered' : 'entry_silent');
  }

  /** Waits for an answer as long as answers take; that to a first try tells how long they do. */
  private async timed<Answer>(
    triesBefore: number,
    call: (timeoutMs: number) => ResultAsync<Answer, BackendRunFailure>,
  ): Promise<Result<Answer, BackendRunFailure>> {
    const { timer, times } = this.opts;
    const sentAt = timer.now();
    const res = await call(times.timeoutMs(triesBefore));
    if (res.isOk() && triesBefore === 0) times.addSample(timer.now() - sentAt);
    return res;
  }

  /** The same start with the next attempt number. */
  private renumber(state: RunState): RunState {
    const { request, run } = state;
    const attempt = this.attempts.allocate(taskKey(request), request.attempt);
    const next = { ...state, run: { ...run, attempt } };
    this.opts.held.add(next);
    return next;
  }

  private async sendStop(state: RunState): Promise<void> {
    const { backend, held, lease, log, lookSoon, presence, timer } = this.opts;
    for (let tries = 0; held.includes(state); tries += 1) {
      const sentAt = timer.now();
      const res = await this.timed(tries, (timeoutMs) =>
        backend.stop(state.run, lease.token, timeoutMs),
      );
      if (res.isOk()) {
        held.stopAcknowledged(state);
        lookSoon();
        return;
      }
      if (presence.endsWithFailure(res.error)) return;
      log.warn('a stop was not answered', { ...logged(state), tries, reason: res.error.reason });
      await this.pauseAfter(res.error, sentAt);
    }
  }

  /**
   * Waits before a call is made again. One that was not answered in its time has waited already; one whose
   * connection broke has not, and would be made again and again, each time over a new connection.
   */
  private async pauseAfter({ kind }: BackendRunFailure, sentAt: number): Promise<void> {
    const { timer } = this.opts;
    const waitedMs = kind === 'unanswered' ? timer.now() - sentAt : 0;
    if (waitedMs < LEAST_ANSWER_MS) await timer.sleep(runLimits.retryMs);
  }
}

/** A call that failed sooner was not given the time for its answer, ms. */
const LEAST_ANSWER_MS = 15;

/** Whether a call that failed has certainly done nothing, and will not. */
function isNotCarriedOut({ kind }: BackendRunFailure): boolean {
  return kind === 'closed' || kind === 'replaced';
}

/** Refusals that a second start, with a new number, token or lease, may not meet. */
const refusalsToTryAgain: Readonly<Record<BackendRefusal, boolean>> = {
  fenced: true,
  spent: true,
  late: true,
  full: false,
  unfit: false,
};

function logged({ run, stop }: RunState): Readonly<Record<string, unknown>> {
  return { ...run, isStopping: stop !== undefined };
}
