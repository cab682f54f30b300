import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import taskName from '../../platform/taskName';
import type Checker from './Checker';
import type EntryConnection from './EntryConnection';
import type Job from './Job';
import JobSender from './JobSender';
import RESEND_PAUSE_MS from './RESEND_PAUSE_MS';
import type SendingWay from './SendingWay';
import type SendingWayMix from './SendingWayMix';
import sendingWays from './sendingWays';

interface SoakCallerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly checker: Checker;
  /** Addresses at which entries accept callers, by entry name. */
  readonly entries: ReadonlyMap<string, string>;
  /** How some of the jobs are sent; if absent, each is sent to one entry at a time. */
  readonly unusual?: SendingWayMix;
  /** Decides how jobs are sent; `random` decides the jobs and the pauses between them. */
  readonly wayRandom: Random;
  /** The connections of all callers. */
  readonly connections: Set<EntryConnection>;
  /** Writes a line to the run's log. */
  readonly logLine: (text: string) => void;
}

/** A caller that submits jobs one after the other, over one connection for as long as it lasts. */
export default class SoakCaller {
  private readonly sender: JobSender;

  private constructor(private readonly opts: SoakCallerOptions) {
    this.sender = JobSender.create(opts);
  }

  /** Submits jobs until the signal aborts; resolves once the last job has ended. */
  static async run(opts: SoakCallerOptions, stop: AbortSignal): Promise<void> {
    const caller = new SoakCaller(opts);
    const { timer, random } = opts;
    while (!stop.aborted) {
      await timer.sleep(random.jitter(MEAN_GAP_MS), stop);
      if (!stop.aborted) await caller.submit(caller.makeJob(), stop);
    }
    await caller.sender.close(caller.sender.connection);
  }

  private makeJob(): Job {
    const { random } = this.opts;
    const id = [random.below(2 ** 31), random.below(2 ** 31)]
      .map((part) => part.toString(16).padStart(8, '0'))
      .join('');
    const cpu = CPU_MILLI[random.below(CPU_MILLI.length)]!;
    const ms = 20 + random.below(random.below(8) === 0 ? LONG_MS : SHORT_MS);
    const counts = random.below(3) === 0 ? [1 + random.below(4), 1] : [1 + random.below(6)];
    const steps = counts.map((count, step) => ({
      ...{ count, cpu, mem_mb: 64, estimate_ms: ms },
      ...(step > 0 ? { after: [step - 1] } : {}),
    }));
    const tasks = counts.flatMap((count, step) =>
      [...Array(count).keys()].map((index) => taskName({ batch: id, step, index })),
    );
    const spec = JSON.stringify({ ms, cpu, fails: random.below(40) === 0 });
    const deadlineMs = 1_500 + random.below(5_000);
    return { id, tasks, deadlineMs, body: JSON.stringify({ best_effort: true, spec, steps }) };
  }

  /** Sends a job until it is answered or refused, a few times at most, and not again once `stop` aborts. */
  private async submit(job: Job, stop: AbortSignal): Promise<void> {
    const { timer, wayRandom } = this.opts;
    const { sender } = this;
    let way = this.chooseWay();
    let attemptsLeft = MAX_ATTEMPTS;
    while (attemptsLeft > 0) {
      const { status, isUnsent } = await sendingWays[way](job, {
        timer,
        random: wayRandom,
        sender,
      });
      if (isUnsent) {
        await sender.reconnect();
        await timer.sleep(RECONNECT_PAUSE_MS);
        continue;
      }
      way = 'once';
      if (!RETRIED_STATUSES.has(status) || stop.aborted) return;
      if (status === 0) await sender.reconnect();
      attemptsLeft -= 1;
      await timer.sleep(RESEND_PAUSE_MS);
    }
  }

  private chooseWay(): SendingWay {
    const { unusual, wayRandom } = this.opts;
    if (!unusual || wayRandom.below(unusual.oneIn) > 0) return 'once';
    return unusual.ways[wayRandom.below(unusual.ways.length)]!;
  }
}

/** Statuses after which a job is sent again; 0 is no answer. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([0, 502, 504]);

/** Pause after a connection was refused, ms. */
const RECONNECT_PAUSE_MS = 100;

/** How often a job is sent at most; refused connections don't count. */
const MAX_ATTEMPTS = 4;

/** Mean pause between the jobs of a caller, ms. */
const MEAN_GAP_MS = 120;

/** Upper limits of the duration of tasks beyond 20 ms, ms; one job in eight uses the longer. */
const SHORT_MS = 150;

const LONG_MS = 1_500;

/** Cores that a task may ask for, thousandths. */
const CPU_MILLI = [500, 1_000, 2_000];
