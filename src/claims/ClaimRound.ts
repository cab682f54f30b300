import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type { BatchClaimed } from '../gen/magnoliakeel/v1/peer_pb';
import claimLimits from './claimLimits';
import type ClaimConflict from './ClaimConflict';

/** A conflicting claim, undefined when the claim is granted, or `unclear` without a majority of answers. */
type RoundResult = ClaimConflict | 'unclear' | undefined;

interface RegistrarRequest {
  readonly entry: string;
  /** Whether the round waits for it; a slow one is asked but not waited for. */
  readonly isAwaited: boolean;
  /** Its answer; undefined when it is unreachable or its link ends. */
  readonly answer: Promise<BatchClaimed | undefined>;
}

/** Requests one claim from all of its registrars and waits until enough of them have answered. */
export default class ClaimRound {
  private readonly awaited: Set<string>;

  private readonly quorum: number;

  private grants = 0;

  /** Whether registrars beyond a majority are no longer waited for. */
  private isLate = false;

  private readonly timers: readonly Subscription[];

  private constructor(
    timer: TimerService,
    registrars: readonly RegistrarRequest[],
    isCurrent: () => boolean,
    private readonly resolve: (result: RoundResult) => void,
  ) {
    this.awaited = new Set(registrars.filter((each) => each.isAwaited).map(({ entry }) => entry));
    this.quorum = Math.floor(registrars.length / 2) + 1;
    this.timers = [
      timer.after(claimLimits.answerTimeoutMs, () => {
        this.isLate = true;
        this.checkQuorum();
      }),
      timer.every(claimLimits.probeIntervalMs, () => {
        if (!isCurrent()) this.end('unclear');
      }),
      timer.after(claimLimits.quorumTimeoutMs, () => this.end('unclear')),
    ];
    registrars.forEach(({ entry, answer }) =>
      answer
        .then((value) => this.handleAnswer(entry, value))
        .catch(() => this.handleAnswer(entry, undefined)),
    );
  }

  /**
   * Resolves once a registrar reports another holder, or a majority grants the claim; or to `unclear`, when the round
   * times out or `isCurrent` returns false because the batch has other registrars by now.
   */
  static run(
    timer: TimerService,
    registrars: readonly RegistrarRequest[],
    isCurrent: () => boolean,
  ): Promise<RoundResult> {
    return new Promise((resolve) => {
      // It runs on the answers and its timers.
      // eslint-disable-next-line no-new
      new ClaimRound(timer, registrars, isCurrent, resolve);
    });
  }

  private handleAnswer(registrar: string, answer: BatchClaimed | undefined): void {
    this.awaited.delete(registrar);
    if (answer?.holder) {
      const { holder, goneMs, silentMs } = answer;
      this.end({ holder, goneMs, silentMs, registrar });
      return;
    }
    if (answer) this.grants += 1;
    this.checkQuorum();
  }

  private checkQuorum(): void {
    if (this.grants >= this.quorum && (this.isLate || this.awaited.size === 0)) this.end(undefined);
  }

  private end(result: RoundResult): void {
    this.timers.forEach((timer) => timer.cancel());
    this.resolve(result);
  }
}
