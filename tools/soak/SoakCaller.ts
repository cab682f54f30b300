import { Client } from 'undici';
import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import taskName from '../../platform/taskName';
import type Checker from './Checker';

interface SoakCallerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly checker: Checker;
  /** Where entries take callers, by name. */
  readonly entries: ReadonlyMap<string, string>;
}

interface Sending {
  readonly status: number;
  readonly text: string;
  /** True when there was no connection, so that nothing was sent. */
  readonly isUnsent: boolean;
}

interface Job {
  readonly id: string;
  readonly body: string;
  readonly tasks: readonly string[];
  readonly deadlineMs: number;
}

/** One caller: submits jobs one after the other, over the connection it has for as long as that lasts. */
export default class SoakCaller {
  private entry: string;

  private client: Client;

  private constructor(private readonly opts: SoakCallerOptions) {
    this.entry = this.anyEntry();
    this.client = this.connection();
  }

  /** Submits until the signal aborts, and resolves once the last job has its end. */
  static async run(opts: SoakCallerOptions, stop: AbortSignal): Promise<void> {
    const caller = new SoakCaller(opts);
    const { timer, random } = opts;
    while (!stop.aborted) {
      await timer.sleep(random.jitter(GAP_MS), stop);
      if (!stop.aborted) await caller.submit(caller.makeJob(), stop);
    }
    await caller.client.destroy();
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

  /** Sends a job until it is answered or refused, a few times at most and not again after the signal. */
  private async submit(job: Job, stop: AbortSignal): Promise<void> {
    const { timer, checker } = this.opts;
    let left = MOST_SENDINGS;
    while (left > 0) {
      const { entry } = this;
      const sentAt = timer.now();
      checker.sent(job.id, job.tasks);
      const { status, text, isUnsent } = await this.send(job);
      if (isUnsent) {
        await this.reconnect();
        await timer.sleep(REFUSED_MS);
        continue;
      }
      checker.answered({ id: job.id, entry, sentAt, status, text });
      if (!AGAIN.has(status) || stop.aborted) return;
      if (status === 0) await this.reconnect();
      left -= 1;
      await timer.sleep(RESEND_MS);
    }
  }

  private async reconnect(): Promise<void> {
    await this.client.destroy();
    this.entry = this.anyEntry();
    this.client = this.connection();
  }

  private connection(): Client {
    return new Client(`http://${this.opts.entries.get(this.entry)}`);
  }

  private anyEntry(): string {
    const { random, entries } = this.opts;
    return [...entries.keys()][random.below(entries.size)]!;
  }

  private async send({ id, body, deadlineMs }: Job): Promise<Sending> {
    const late = new AbortController();
    const limit = this.opts.timer.after(deadlineMs + LATE_MS, () => late.abort('silence'));
    const headers = {
      ...{ host: 'soak.example', 'content-type': 'application/json' },
      'x-deadline-ms': String(deadlineMs),
    };
    const { signal } = late;
    try {
      const path = `/jobs/${id}`;
      const res = await this.client.request({ path, headers, body, signal, method: 'POST' });
      return { status: res.statusCode, text: await res.body.text(), isUnsent: false };
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      return { status: 0, text: String(error), isUnsent: code === 'ECONNREFUSED' };
    } finally {
      limit.cancel();
    }
  }
}

/** Answers after which a job is sent again; 0 is none. */
const AGAIN: ReadonlySet<number> = new Set([0, 502, 504]);

/** Pause before a job is sent again, as the users' callers make, ms. */
const RESEND_MS = 1_300;

/** Pause after a connection was refused, ms. */
const REFUSED_MS = 100;

const MOST_SENDINGS = 4;

/** Mean pause between the jobs of a caller, ms. */
const GAP_MS = 120;

/** How much later than a job's deadline an answer may come on a busy machine, ms. */
const LATE_MS = 3_000;

const SHORT_MS = 150;

const LONG_MS = 1_500;

/** What a task needs, thousandths of a core. */
const CPU_MILLI = [500, 1_000, 2_000];
