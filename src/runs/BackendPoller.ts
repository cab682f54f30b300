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

interface BackendPollerOptions {
  readonly timer: TimerService;
  readonly backend: BackendRunClient;
  readonly lease: BackendLease;
  readonly liveness: BackendLiveness;
  readonly health: BackendHealth;
  readonly timeouts: AnswerTimeouts;
  readonly activeRuns: ActiveRuns;
  readonly commands: RunCommands;
  readonly log: EventLog;
  /** The backend server's id, for logs. */
  readonly id: string;
  /** Called when the free capacity, or whether it may be used, has changed. */
  readonly onChange: () => void;
}

/**
 * Polls a backend server for running and ended runs. Each poll renews the lease and waits at the backend server
 * for the next end, so that ends arrive without delay.
 */
export default class BackendPoller {
  private readonly wakeup = Wakeup.create();

  /** The highest end number that was processed. */
  private processedEnd = 0;

  private acknowledgedEnd = 0;

  private unansweredPolls = 0;

  private constructor(private readonly opts: BackendPollerOptions) {}

  /** Creates the poller of one incarnation; nothing is sent before `run`. */
  static create(opts: BackendPollerOptions): BackendPoller {
    return new BackendPoller(opts);
  }

  /** Wakes the poller when it is idle. */
  pollSoon(): void {
    this.wakeup.wake();
  }

  /** Stops what an earlier sidecar left running, then polls until the incarnation has ended. */
  async run(): Promise<void> {
    const { activeRuns, liveness } = this.opts;
    await this.stopLeftovers();
    while (!liveness.isEnded) {
      const isIdle = activeRuns.size === 0 && this.acknowledgedEnd === this.processedEnd;
      if (isIdle && liveness.state === 'open' && !liveness.isUnresponsive) await this.wakeup.wait();
      else await this.poll();
    }
  }

  private async stopLeftovers(): Promise<void> {
    const { backend, lease, log, liveness, timeouts, timer } = this.opts;
    for (let tries = 0; liveness.state === 'clearing'; tries += 1) {
      const timeoutMs = timeouts.timeoutMs(tries);
      const res = await backend.poll(this.processedEnd, lease.token, 0, timeoutMs);
      if (res.isOk()) {
        this.processEnds(res.value);
        const { running } = res.value;
        if (running.length === 0) {
          this.open();
          return;
        }
        log.info('stopping runs that an earlier process left behind', { running: running.length });
        await Promise.all(running.map(({ run }) => backend.stop(run, lease.token, timeoutMs)));
      } else {
        if (liveness.endsWithFailure(res.error)) return;
        if (res.error.kind === 'refused') lease.raiseToken();
      }
      await timer.sleep(runLimits.stopPollIntervalMs);
    }
  }

  private open(): void {
    const { onChange, id, lease, log, liveness } = this.opts;
    liveness.state = 'open';
    log.info('the backend server accepts tasks', { backend: id, token: lease.token });
    onChange();
  }

  private async poll(): Promise<void> {
    const { backend, onChange, health, activeRuns, lease, commands, liveness, timeouts, timer } =
      this.opts;
    const pollNumber = activeRuns.beginPoll();
    const acknowledged = this.processedEnd;
    const isSilent = liveness.state === 'silent';
    const waitMs =
      isSilent || this.unansweredPolls > 0 || activeRuns.hasUnverifiedStop
        ? 0
        : runLimits.pollWaitMs;
    // Runs that may be lost are not extended, so that they are soon known to have ended.
    const mayHaveEnded = isSilent || this.unansweredPolls >= runLimits.silentAfterPolls;
    const leaseUntil = mayHaveEnded ? undefined : lease.renew(activeRuns.silentMs);
    const timeoutMs = timeouts.timeoutMs(this.unansweredPolls);
    const sentAt = timer.now();
    const res = await backend.poll(acknowledged, lease.token, waitMs, timeoutMs, leaseUntil);
    if (liveness.isEnded) return;
    if (res.isErr()) {
      await this.handleFailure(res.error);
      // A call that timed out has waited already; one whose connection broke has not.
      await timer.sleep(Math.max(0, runLimits.retryDelayMs - (timer.now() - sentAt)));
      return;
    }
    this.unansweredPolls = 0;
    liveness.recordAnswer();
    this.acknowledgedEnd = Math.max(this.acknowledgedEnd, acknowledged);
    if (isSilent) this.markAnswering();
    health.sample(activeRuns.all);
    this.processEnds(res.value);
    activeRuns.reconcile(res.value, pollNumber).forEach((run) => commands.stopUnknown(run));
    onChange();
    if (activeRuns.hasUnverifiedStop) await timer.sleep(runLimits.stopPollIntervalMs);
  }

  private processEnds({ ended }: BackendPollResult): void {
    const { health, activeRuns } = this.opts;
    ended.forEach(({ number, run, how, reason }) => {
      if (number <= this.processedEnd) return;
      this.processedEnd = number;
      const state = activeRuns.find(taskKey(run));
      if (state?.run.attempt !== run.attempt) return;
      if (how !== 'lost') health.recordEnd(state, how === 'done');
      activeRuns.finish(state, outcomes[how], reason);
    });
  }

  private async handleFailure(failure: BackendRunFailure): Promise<void> {
    const { onChange, activeRuns, lease, log, liveness, timer } = this.opts;
    if (liveness.endsWithFailure(failure)) return;
    const { kind, reason } = failure;
    if (kind === 'closed') return;
    this.unansweredPolls += 1;
    log.warn('a lease renewal was not answered', {
      kind,
      reason,
      unanswered: this.unansweredPolls,
    });
    const isSilent =
      this.unansweredPolls >= runLimits.silentAfterPolls &&
      liveness.silentMs >= runLimits.silentAfterMs;
    if (liveness.state === 'open' && isSilent) this.markSilent();
    if (liveness.state !== 'silent') return;
    if (lease.hasExpired && activeRuns.size > 0) {
      activeRuns.finishAllAsLost('the lease passed while the backend server was silent');
      onChange();
    }
    await timer.sleep(runLimits.silentPollIntervalMs);
  }

  private markSilent(): void {
    const { onChange, activeRuns, id, log, liveness } = this.opts;
    liveness.state = 'silent';
    log.warn('the backend server does not answer: its lease is no longer renewed', {
      backend: id,
      running: activeRuns.size,
    });
    onChange();
  }

  private markAnswering(): void {
    const { onChange, id, log, liveness } = this.opts;
    liveness.state = 'open';
    log.info('the backend server answers again', { backend: id });
    onChange();
  }
}

const outcomes = {
  done: RunOutcome.DONE,
  failed: RunOutcome.FAILED,
  lost: RunOutcome.LOST,
} as const;
