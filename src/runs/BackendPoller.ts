import type TimerService from '../core/TimerService';
import Wakeup from '../core/Wakeup';
import { RunOutcome } from '../gen/magnoliakeel/v1/peer_pb';
import type EventLog from '../observe/EventLog';
import type AnswerTimeouts from './AnswerTimeouts';
import type BackendHealth from './BackendHealth';
import type BackendPollResult from './BackendPollResult';
import type BackendLease from './BackendLease';
import type BackendLiveness from './BackendLiveness';
import type BackendRunFailure from './BackendRunFailure';
import type ActiveRuns from './ActiveRuns';
import type BackendRunClient from './BackendRunClient';
import runLimits from './runLimits';
import type RunCommands from './RunCommands';
import taskKey from './taskKey';

interface BackendLooksOptions {
  readonly timer: TimerService;
  readonly backend: BackendRunClient;
  readonly lease: BackendLease;
  readonly presence: BackendLiveness;
  readonly health: BackendHealth;
  readonly times: AnswerTimeouts;
  readonly held: ActiveRuns;
  readonly orders: RunCommands;
  readonly log: EventLog;
  /** The backend server's id, for logs. */
  readonly id: string;
  /** Told when room, or whether it may be used, has changed. */
  readonly changed: () => void;
}

/**
 * Looks at what runs on a backend server and what has ended, again and again. Each look renews the
 * lease and waits there for the next end, so that an end is heard at once.
 */
export default class BackendPoller {
  private readonly work = Wakeup.create();

  /** Ends are heard up to this number. */
  private seenEnd = 0;

  private acknowledgedEnd = 0;

  private unanswered = 0;

  private constructor(private readonly opts: BackendLooksOptions) {}

  /** Creates the looks at one life of a backend server; nothing is sent before `run`. */
  static create(opts: BackendLooksOptions): BackendPoller {
    return new BackendPoller(opts);
  }

  /** There is something to look at. */
  pollSoon(): void {
    this.work.wake();
  }

  /** Ends what an earlier sidecar left running, then looks until the life is over. */
  async run(): Promise<void> {
    const { held, presence } = this.opts;
    await this.clear();
    while (!presence.isEnded) {
      const isIdle = held.size === 0 && this.acknowledgedEnd === this.seenEnd;
      if (isIdle && presence.state === 'open' && !presence.isUnresponsive) await this.work.wait();
      else await this.look();
    }
  }

  private async clear(): Promise<void> {
    const { backend, lease, log, presence, times, timer } = this.opts;
    for (let tries = 0; presence.state === 'clearing'; tries += 1) {
      const timeoutMs = times.timeoutMs(tries);
      const res = await backend.poll(this.seenEnd, lease.token, 0, timeoutMs);
      if (res.isOk()) {
        this.hearEnds(res.value);
        const { running } = res.value;
        if (running.length === 0) {
          this.open();
          return;
        }
        log.info('stopping what an earlier process left running', { running: running.length });
        await Promise.all(running.map(({ run }) => backend.stop(run, lease.token, timeoutMs)));
      } else {
        if (presence.endsWithFailure(res.error)) return;
        if (res.error.kind === 'refused') lease.raiseToken();
      }
      await timer.sleep(runLimits.stopCheckMs);
    }
  }

  private open(): void {
    const { changed, id, lease, log, presence } = this.opts;
    presence.state = 'open';
    log.info('the backend server takes tasks', { backend: id, token: lease.token });
    changed();
  }

  private async look(): Promise<void> {
    const { backend, changed, health, held, lease, orders, presence, times, timer } = this.opts;
    const look = held.beginPoll();
    const seen = this.seenEnd;
    const isSilent = presence.state === 'silent';
    const waitMs =
      isSilent || this.unanswered > 0 || held.hasUnverifiedStop ? 0 : runLimits.holdWaitMs;
    // What cannot be known to go on is not prolonged, so that it is soon known to be over.
    const isDoubtful = isSilent || this.unanswered >= runLimits.silentAfter;
    const until = isDoubtful ? undefined : lease.renew(held.silentMs);
    const timeoutMs = times.timeoutMs(this.unanswered);
    const askedAt = timer.now();
    const res = await backend.poll(seen, lease.token, waitMs, timeoutMs, until);
    if (presence.isEnded) return;
    if (res.isErr()) {
      await this.missed(res.error);
      // A call that failed by its time has waited already; one whose connection breaks has not.
      await timer.sleep(Math.max(0, runLimits.retryMs - (timer.now() - askedAt)));
      return;
    }
    this.unanswered = 0;
    presence.recordAnswer();
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, seen);
    if (isSilent) this.speakAgain();
    health.sample(held.all);
    this.hearEnds(res.value);
    held.reconcile(res.value, look).forEach((run) => orders.stopUnknown(run));
    changed();
    if (held.hasUnverifiedStop) await timer.sleep(runLimits.stopCheckMs);
  }

  private hearEnds({ ended }: BackendPollResult): void {
    const { health, held } = this.opts;
    ended.forEach(({ number, run, how, reason }) => {
      if (number <= this.seenEnd) return;
      this.seenEnd = number;
      const state = held.find(taskKey(run));
      if (state?.run.attempt !== run.attempt) return;
      if (how !== 'lost') health.recordEnd(state, how === 'done');
      held.finish(state, outcomes[how], reason);
    });
  }

  private async missed(failure: BackendRunFailure): Promise<void> {
    const { changed, held, lease, log, presence, timer } = this.opts;
    if (presence.endsWithFailure(failure)) return;
    const { kind, reason } = failure;
    if (kind === 'closed') return;
    this.unanswered += 1;
    log.warn('a renewal was not answered', { kind, reason, unanswered: this.unanswered });
    const isSilent =
      this.unanswered >= runLimits.silentAfter && presence.silentMs >= runLimits.silentAfterMs;
    if (presence.state === 'open' && isSilent) this.fallSilent();
    if (presence.state !== 'silent') return;
    if (lease.hasExpired && held.size > 0) {
      held.finishAllAsLost('the lease passed while the backend server was silent');
      changed();
    }
    await timer.sleep(runLimits.silentProbeMs);
  }

  private fallSilent(): void {
    const { changed, held, id, log, presence } = this.opts;
    presence.state = 'silent';
    log.warn('the backend server is silent: its lease is no longer renewed', {
      backend: id,
      running: held.size,
    });
    changed();
  }

  private speakAgain(): void {
    const { changed, id, log, presence } = this.opts;
    presence.state = 'open';
    log.info('the backend server answers again', { backend: id });
    changed();
  }
}

const outcomes = {
  done: RunOutcome.DONE,
  failed: RunOutcome.FAILED,
  lost: RunOutcome.LOST,
} as const;
