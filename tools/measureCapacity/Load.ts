import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';

const WAIT_MS = 20_000;
const CONNECTIONS = 256;
const PADDING = 'x'.repeat(150);

/** Callers that submit jobs to one entry and read each answer whole. */
export default class Load {
  /** Tasks of completed jobs. */
  tasks = 0;

  jobs = 0;

  /** Jobs that did not complete. */
  failed = 0;

  private readonly agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });

  private constructor(
    private readonly callers: string,
    private readonly size: number,
    private readonly taskMs: number,
  ) {}

  /** Creates callers of an entry whose jobs have so many tasks of so many milliseconds. */
  static to(callers: string, size: number, taskMs: number): Load {
    return new Load(callers, size, taskMs);
  }

  /** Submits at an even rate of task starts a second, and resolves when the last job is answered. */
  async atRate(startsPerSecond: number, seconds: number): Promise<void> {
    const gapMs = (1000 * this.size) / startsPerSecond;
    const count = Math.round((seconds * 1000) / gapMs);
    const began = performance.now();
    const answers: Promise<void>[] = [];
    for (let at = 0; at < count; at += 1) {
      await until(began + at * gapMs);
      answers.push(this.submit());
    }
    await Promise.all(answers);
  }

  /** Keeps so many jobs in flight for a time; resolves to the starts a second. */
  async saturate(inFlight: number, seconds: number): Promise<number> {
    const began = performance.now();
    const end = began + seconds * 1000;
    const before = this.tasks;
    const callers = Array.from({ length: inFlight }, async () => {
      while (performance.now() < end) await this.submit();
    });
    await Promise.all(callers);
    return ((this.tasks - before) * 1000) / (performance.now() - began);
  }

  /** Submits one job, for a team if one is given, and reads its answer. */
  async submit(team?: string): Promise<void> {
    const input = { ms: this.taskMs, output: PADDING };
    const tasks = Array.from({ length: this.size }, () => ({ input }));
    const url = `${this.callers}/v1/services/booking/jobs/${randomUUID()}?wait=${WAIT_MS}`;
    const { body, headers } = await request(url, {
      dispatcher: this.agent,
      method: 'PUT',
      headers: {
        'magnoliakeel-created': String(Date.now()),
        ...(team === undefined ? {} : { 'magnoliakeel-team': team }),
      },
      body: JSON.stringify({ tasks }),
    });
    await body.dump({ limit: Number.MAX_SAFE_INTEGER });
    this.jobs += 1;
    if (headers['magnoliakeel-outcome'] === 'completed') this.tasks += this.size;
    else this.failed += 1;
  }

  /** Ends the connections. */
  async close(): Promise<void> {
    await this.agent.close();
  }
}

async function until(time: number): Promise<void> {
  const leftMs = time - performance.now();
  if (leftMs <= 0) return;
  await new Promise((resolve) => {
    setTimeout(resolve, leftMs);
  });
}
