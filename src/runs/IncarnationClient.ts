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
 * The calls to one life of a backend server. Its address and id may be the next life's too, so an answer that says
 * when the answering life started is held against this one's start, and it is remembered which starts the next life
 * may still carry out. Of a life that doesn't tell when it started nothing is remembered: its id is its own.
 */
export default class IncarnationClient implements BackendRunClient {
  /** By task, starts that were sent and have had no answer. */
  private readonly unansweredStarts = new Map<string, number>();

  /** What this life has listed last. */
  private lastListed: BackendPollResult['running'] = [];

  /** Whether this life was there when a call was made: what answers one later was there after it. */
  private hasAnswered = false;

  private answeringBorn: number | undefined;

  private constructor(
    private readonly backend: BackendRunClient,
    private readonly born: number | undefined,
  ) {}

  /** Wraps the calls to the life that started then, ms since 1970, if it tells. */
  static of(backend: BackendRunClient, born: number | undefined): IncarnationClient {
    return new IncarnationClient(backend, born);
  }

  /** When the life started that has answered in place of this one, as it tells; its clock may have been set back. */
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
   * Whether a run of this life may go on after its end, or the next life may start it, or has done so. Nothing
   * ends those of a life that is given up here but their lease. While nothing listens, that is so for orders
   * without an answer. When the next life is there, it may also have given the answer, so only a run that this life
   * has listed is known to have been here.
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

/** Tasks whose starts without an answer are remembered: far more than run at once, since some stay for good. */
const MAX_REMEMBERED_TASKS = 1_000;
