import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import type BackendPollResult from './BackendPollResult';
import type BackendRefusal from './BackendRefusal';
import type BackendRunFailure from './BackendRunFailure';
import type IncarnationEnd from './IncarnationEnd';
import type BackendRunClient from './BackendRunClient';
import type RunId from './RunId';
import type RunState from './RunState';
import taskKey from './taskKey';

/**
 * Client of one incarnation of a backend server. The next incarnation may have the same address and id, so the start
 * time in an answer is compared with that of this incarnation, and starts that the next one may still execute are
 * remembered. For an incarnation that does not report its start time nothing is remembered: its id is unique.
 */
export default class IncarnationClient implements BackendRunClient {
  /** Sent starts without an answer, counted by task. */
  private readonly unansweredStarts = new Map<string, number>();

  /** The runs that this incarnation listed last. */
  private lastListed: BackendPollResult['running'] = [];

  /** Whether this incarnation has answered: another one that answers after that came later. */
  private hasAnswered = false;

  private answeringBorn: number | undefined;

  private constructor(
    private readonly backend: BackendRunClient,
    private readonly born: number | undefined,
  ) {}

  /** Wraps the client of the incarnation that started at `born`, ms since 1970, if it reports that. */
  static of(backend: BackendRunClient, born: number | undefined): IncarnationClient {
    return new IncarnationClient(backend, born);
  }

  /**
   * Reported start time of the incarnation that has answered in place of this one; its wall clock may have been
   * set back.
   */
  get successorBorn(): number | undefined {
    return this.answeringBorn;
  }

  start(
    run: RunId,
    spec: string,
    leaseUntil: number,
    token: number,
    timeoutMs: number,
  ): ResultAsync<BackendRefusal | 'started', BackendRunFailure> {
    const answer = this.backend.start(run, spec, leaseUntil, token, timeoutMs);
    if (this.born === undefined) return answer;
    const key = taskKey(run);
    this.countUnanswered(key, 1);
    return answer
      .map((value) => {
        this.countUnanswered(key, -1);
        return value;
      })
      .mapErr((failure) => {
        if (failure.kind !== 'unanswered') this.countUnanswered(key, -1);
        return failure;
      });
  }

  stop(run: RunId, token: number, timeoutMs: number): ResultAsync<void, BackendRunFailure> {
    return this.backend.stop(run, token, timeoutMs);
  }

  poll(
    seenEnd: number,
    token: number,
    waitMs: number,
    timeoutMs: number,
    leaseUntil?: number,
  ): ResultAsync<BackendPollResult, BackendRunFailure> {
    return this.backend
      .poll(seenEnd, token, waitMs, timeoutMs, leaseUntil)
      .andThen((answer) => this.checkIncarnation(answer));
  }

  /**
   * Whether a run of this incarnation may go on after its end, or may be started by the next incarnation, or
   * was. When the incarnation is given up here, only the lease ends its runs. While nothing listens, only
   * unanswered starts are in doubt. Once the next incarnation is there, it may have given any answer, so only a
   * run that this one has listed is known to have been here.
   */
  mayOutlive({ run }: RunState, how: IncarnationEnd): boolean {
    if (how === 'abandoned' || how === 'displaced') return true;
    if (this.born === undefined || how === 'replaced') return false;
    const key = taskKey(run);
    if (this.unansweredStarts.has(key)) return true;
    return how === 'reborn' && !this.lastListed.some((listed) => taskKey(listed.run) === key);
  }

  private checkIncarnation(
    answer: BackendPollResult,
  ): Result<BackendPollResult, BackendRunFailure> {
    const { born } = answer;
    if (this.born !== undefined && born !== undefined && born !== this.born) {
      if (born < this.born && !this.hasAnswered) return err(FROM_EARLIER_INCARNATION);
      this.answeringBorn = born;
      return err(RESTARTED);
    }
    this.hasAnswered = true;
    this.lastListed = answer.running;
    return ok(answer);
  }

  private countUnanswered(key: string, change: number): void {
    const count = (this.unansweredStarts.get(key) ?? 0) + change;
    if (count <= 0) this.unansweredStarts.delete(key);
    else this.unansweredStarts.set(key, count);
    if (this.unansweredStarts.size <= MAX_REMEMBERED_TASKS) return;
    const [oldest] = this.unansweredStarts.keys();
    if (oldest !== undefined) this.unansweredStarts.delete(oldest);
  }
}

const RESTARTED: BackendRunFailure = {
  kind: 'reborn',
  reason: 'it has started again under its id',
};

const FROM_EARLIER_INCARNATION: BackendRunFailure = {
  kind: 'unanswered',
  reason: 'an earlier life has answered',
};

/** Tasks whose unanswered starts are remembered: far more than run at once, since some stay for good. */
const MAX_REMEMBERED_TASKS = 1_000;
