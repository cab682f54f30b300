import { create } from '@bufbuild/protobuf';
import { CrashRole, RunEndSchema, RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import Resources from '../room/Resources';
import type BackendPollResult from './BackendPollResult';
import needsExclusiveBackend from './needsExclusiveBackend';
import type RunId from './RunId';
import type RunRequest from './RunRequest';
import type RunState from './RunState';
import taskKey from './taskKey';

interface ActiveRunsOptions {
  /** Called for each run that has ended, with its task key, after the run's owner was notified. */
  readonly onEnded: (key: string) => void;
  /** Called with the progress that a run has made since the last poll, in percent of its work. */
  readonly onProgress: (state: RunState, percent: number) => void;
}

/**
 * The runs that occupy capacity at a backend server, from before their start is sent until they are known to
 * have ended. A run has ended when the backend server lists its end, when it was confirmed and a later poll
 * does not list it, or when its stop was acknowledged and a later poll does not list it: after the stop, a
 * start that is still in flight is refused.
 */
export default class ActiveRuns {
  private readonly runs = new Map<string, RunState>();

  /** For each acknowledged stop, the number of the first poll that shows whether the run is still there. */
  private readonly verifyingPolls = new Map<RunState, number>();

  private pollCount = 0;

  private constructor(private readonly opts: ActiveRunsOptions) {}

  /** Creates an empty set of runs. */
  static create(opts: ActiveRunsOptions): ActiveRuns {
    return new ActiveRuns(opts);
  }

  get size(): number {
    return this.runs.size;
  }

  /** All active runs. */
  get all(): Iterable<RunState> {
    return this.runs.values();
  }

  /** The capacity that they occupy, including runs that are being stopped. */
  get allocated(): Resources {
    return sumOf([...this.runs.values()]);
  }

  /** The part of it that an owner's runs occupy. */
  allocatedTo(owner: object): Resources {
    return sumOf([...this.runs.values()].filter(({ request }) => request.owner === owner));
  }

  /** The longest time for which any of their owners has not been confirmed alive, ms. */
  get silentMs(): number {
    let longest = 0;
    this.runs.forEach(({ request }) => {
      longest = Math.max(longest, request.owner.silentMs);
    });
    return longest;
  }

  /** Whether a stop was acknowledged and the poll that verifies the end is still to come. */
  get hasUnverifiedStop(): boolean {
    return this.verifyingPolls.size > 0;
  }

  /** The active run of a task, by task key. */
  find(key: string): RunState | undefined {
    return this.runs.get(key);
  }

  /** Whether exactly this run is active. */
  includes(state: RunState): boolean {
    return this.runs.get(taskKey(state.run)) === state;
  }

  /** The number of active runs of the same step. */
  countOfStep({ batch, step }: Pick<RunRequest, 'batch' | 'step'>): number {
    const requests = [...this.runs.values()].map((run) => run.request);
    return requests.filter((each) => each.batch === batch && each.step === step).length;
  }

  /** Whether a run is active that is suspected of having crashed a backend server. */
  get hasSuspect(): boolean {
    return this.hasRequest(({ suspicion }) => suspicion > 0);
  }

  /** Whether a run is active that must have the backend server to itself. */
  get hasExclusiveRun(): boolean {
    return this.hasRequest(({ suspicion }) => needsExclusiveBackend(suspicion));
  }

  /** Allocates capacity for a run. It replaces an earlier attempt of the same task. */
  add(state: RunState): void {
    this.runs.set(taskKey(state.run), state);
  }

  /** Called before a poll is sent; returns the number of the poll. */
  beginPoll(): number {
    this.pollCount += 1;
    return this.pollCount;
  }

  /** The backend server has confirmed the run: polls that are sent from now on list it. */
  confirm(state: RunState): void {
    if (state.isConfirmed) return;
    state.isConfirmed = true;
    state.confirmedAtPoll = this.pollCount;
  }

  /** The backend server has acknowledged the stop of a run. */
  stopAcknowledged(state: RunState): void {
    this.verifyingPolls.set(state, this.pollCount + 1);
  }

  /** Applies the result of a poll; returns runs that are listed but not active here. */
  reconcile({ running }: BackendPollResult, poll: number): readonly RunId[] {
    const listed = new Set<RunState>();
    const unknown: RunId[] = [];
    running.forEach(({ run, percent }) => {
      const state = this.runs.get(taskKey(run));
      if (state?.run.attempt !== run.attempt) {
        unknown.push(run);
        return;
      }
      listed.add(state);
      this.confirm(state);
      this.opts.onProgress(state, percent - state.percentDone);
      state.percentDone = percent;
    });
    this.finishVerifiedStops(poll, listed);
    this.finishUnlisted(poll, listed);
    return unknown;
  }

  /** Ends the run: notifies its owner and frees its capacity. */
  finish(
    state: RunState,
    outcome: RunOutcome,
    reason: string,
    crash = CrashRole.UNSPECIFIED,
  ): void {
    const { request, run } = state;
    const key = taskKey(run);
    const { number } = request;
    this.runs.delete(key);
    this.verifyingPolls.delete(state);
    const end = create(RunEndSchema, { number, outcome, attempt: run.attempt, reason, crash });
    request.onEnded(end, state.stop);
    this.opts.onEnded(key);
  }

  /**
   * Ends all runs, which are gone with the backend server; `roleOf` gives each run's role in the crash, if it was one.
   */
  finishAllAsLost(reason: string, roleOf?: (state: RunState) => CrashRole): void {
    [...this.runs.values()].forEach((state) =>
      this.finish(state, RunOutcome.LOST, reason, roleOf?.(state)),
    );
  }

  /** Removes the runs that match, without notifying anybody; returns them. */
  release(matches: (state: RunState) => boolean): readonly RunState[] {
    const released = [...this.runs.values()].filter(matches);
    released.forEach((state) => {
      this.runs.delete(taskKey(state.run));
      this.verifyingPolls.delete(state);
    });
    return released;
  }

  /** Called for each start request and each capacity report, so it avoids copying the runs. */
  private hasRequest(matches: (request: RunRequest) => boolean): boolean {
    for (const { request } of this.runs.values()) {
      if (matches(request)) return true;
    }
    return false;
  }

  private finishVerifiedStops(poll: number, listed: ReadonlySet<RunState>): void {
    [...this.verifyingPolls].forEach(([state, verifyingPoll]) => {
      if (poll < verifyingPoll || listed.has(state)) return;
      if (this.includes(state))
        this.finish(state, RunOutcome.LOST, 'it was stopped and is not there');
      else this.verifyingPolls.delete(state);
    });
  }

  private finishUnlisted(poll: number, listed: ReadonlySet<RunState>): void {
    [...this.runs.values()].forEach((state) => {
      if (!state.isConfirmed || poll <= state.confirmedAtPoll || listed.has(state)) return;
      this.finish(state, RunOutcome.LOST, 'the backend server does not list it any more');
    });
  }
}

function sumOf(runs: readonly RunState[]): Resources {
  return runs.reduce((sum, { request }) => sum.plus(request.needs), Resources.none);
}
