import type Subscription from '../core/Subscription';
import type TimerService from '../core/TimerService';
import type { BatchClaimed } from '../gen/magnoliakeel/v1/peer_pb';
import claimLimits from './claimLimits';
import type ClaimConflict from './ClaimConflict';

/** What comes of a round: what stands against the claim, nothing, or `unclear` when too few have answered. */
type RoundEnd = ClaimConflict | 'unclear' | undefined;

interface Registrar {
  readonly entry: string;
  /** Whether it is waited for; one that has been late for a while is only asked. */
  readonly isAwaited: boolean;
  /** Its answer; nothing when it is out of reach, or its link ends. */
  readonly answer: Promise<BatchClaimed | undefined>;
}

/** One claim at all of its registrars, until enough of them have answered. */
export default class ClaimRound {
  private readonly awaited: Set<string>;

  private readonly need: number;

  private free = 0;

  private isLate = false;

  private readonly limits: readonly Subscription[];

  private constructor(
    timer: TimerService,
    registrars: readonly Registrar[],
    isCurrent: () => boolean,
    private readonly resolve: (end: RoundEnd) => void,
  ) {
    this.awaited = new Set(registrars.filter((each) => each.isAwaited).map(({ entry }) => entry));
    this.need = Math.floor(registrars.length / 2) + 1;
    this.limits = [
      timer.after(claimLimits.answerMs, () => {
        this.isLate = true;
        this.look();
      }),
      timer.every(claimLimits.probeMs, () => {
        if (!isCurrent()) this.end('unclear');
      }),
      timer.after(claimLimits.unansweredMs, () => this.end('unclear')),
    ];
    registrars.forEach(({ entry, answer }) =>
      answer.then((value) => this.hear(entry, value)).catch(() => this.hear(entry, undefined)),
    );
  }

  /**
   * Resolves once a registrar names another holder, or most say that the claim stands, or when too few have answered:
   * after a time, or when the registrars are others by now.
   */
  static run(
    timer: TimerService,
    registrars: readonly Registrar[],
    isCurrent: () => boolean,
  ): Promise<RoundEnd> {
    return new Promise((resolve) => {
      // It goes on by the answers and its limits.
      // eslint-disable-next-line no-new
      new ClaimRound(timer, registrars, isCurrent, resolve);
    });
  }

  private hear(registrar: string, answer: BatchClaimed | undefined): void {
    this.awaited.delete(registrar);
    if (answer?.holder) {
      const { holder, goneMs, silentMs } = answer;
      this.end({ holder, goneMs, silentMs, registrar });
      return;
    }
    if (answer) this.free += 1;
    this.look();
  }

  private look(): void {
    if (this.free >= this.need && (this.isLate || this.awaited.size === 0)) this.end(undefined);
  }

  private end(how: RoundEnd): void {
    this.limits.forEach((limit) => limit.cancel());
    this.resolve(how);
  }
}
