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
  /** Told of each run that is over, by its key, after its owner was. */
  readonly onEnded: (key: string) => void;
  /** Told how much further a run was seen to have come, in hundredths of its work. */
  readonly onProgress: (state: RunState, percent: number) => void;
}

/**
 * The runs that take room at a backend server, from before their start is sent until their end is
 * certain. A run is over when the backend server lists its end, when it was confirmed and a later look
 * does not show it, or when its stop was acknowledged and a later look does not show it: a start that
 * is still on its way is refused after that.
 */
export default class ActiveRuns {
  private readonly runs = new Map<string, RunState>();

  /** For each stop that was acknowledged, the first look that proves whether the run is there. */
  private readonly verifyingPolls = new Map<RunState, number>();

  private pollCount = 0;

  private constructor(private readonly opts: ActiveRunsOptions) {}

  /** Creates one without any run. */
  static create(opts: ActiveRunsOptions): ActiveRuns {
    return new ActiveRuns(opts);
  }

  get size(): number {
    return this.runs.size;
  }

  /** All of them. */
  get all(): Iterable<RunState> {
    return this.runs.values();
  }

  /** What they take, those that are being stopped included. */
  get allocated(): Resources {
    return sumOf([...this.runs.values()]);
  }

  /** What an owner's runs take of that. */
  allocatedTo(owner: object): Resources {
    return sumOf([...this.runs.values()].filter(({ request }) => request.owner === owner));
  }

  /** How long the one of their owners that was confirmed longest ago has been silent, ms. */
  get silentMs(): number {
    let longest = 0;
    this.runs.forEach(({ request }) => {
      longest = Math.max(longest, request.owner.silentMs);
    });
    return longest;
  }

  /** Whether a stop was acknowledged and the look that proves the end is still to come. */
  get hasUnverifiedStop(): boolean {
    return this.verifyingPolls.size > 0;
  }

  /** The run of a task, by its key. */
  find(key: string): RunState | undefined {
    return this.runs.get(key);
  }

  /** Whether exactly this run is held. */
  includes(state: RunState): boolean {
    return this.runs.get(taskKey(state.run)) === state;
  }

  /** Runs of the same step. */
  countOfStep({ batch, step }: Pick<RunRequest, 'batch' | 'step'>): number {
    const requests = [...this.runs.values()].map((run) => run.request);
    return requests.filter((each) => each.batch === batch && each.step === step).length;
  }

  /** Whether a run is there under which a backend server has crashed before. */
  get hasSuspect(): boolean {
    return this.hasRequest(({ suspicion }) => suspicion > 0);
  }

  /** Whether a run is there beside which there may be no other. */
  get hasExclusiveRun(): boolean {
    return this.hasRequest(({ suspicion }) => needsExclusiveBackend(suspicion));
  }

  /** Takes room for a run, in place of an earlier try of the same task. */
  add(state: RunState): void {
    this.runs.set(taskKey(state.run), state);
  }

  /** A look is about to be sent; returns its number. */
  beginPoll(): number {
    this.pollCount += 1;
    return this.pollCount;
  }

  /** The backend server has confirmed the run: looks that are sent from now on list it. */
  confirm(state: RunState): void {
    if (state.isConfirmed) return;
    state.isConfirmed = true;
    state.confirmedAtPoll = this.pollCount;
  }

  /** The stop of a run was acknowledged. */
  stopAcknowledged(state: RunState): void {
    this.verifyingPolls.set(state, this.pollCount + 1);
  }

  /** Compares with what a look showed; returns runs that are there and should not be. */
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

  /** The run is over: its owner is told, and its room is free. */
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

  /** Nothing runs there any more; `roleOf` tells what part a run had in a crash by which that is so. */
  finishAllAsLost(reason: string, roleOf?: (state: RunState) => CrashRole): void {
    [...this.runs.values()].forEach((state) =>
      this.finish(state, RunOutcome.LOST, reason, roleOf?.(state)),
    );
  }

  /** Gives up those for which the predicate holds, and tells nobody; returns them. */
  release(matches: (state: RunState) => boolean): readonly RunState[] {
    const released = [...this.runs.values()].filter(matches);
    released.forEach((state) => {
      this.runs.delete(taskKey(state.run));
      this.verifyingPolls.delete(state);
    });
    return released;
  }

  /** Asked with each order and each report of room, so nothing is copied for it. */
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
