import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';

const WAIT_MS = 20_000;
const CONNECTIONS = 256;
const PADDING = 'x'.repeat(150);

/** Callers that submit jobs to one entry and read each answer in full. */
export default class JobLoad {
  /** Number of tasks in completed jobs. */
  tasks = 0;

  jobs = 0;

  /** Number of jobs that did not complete. */
  failed = 0;

  private readonly agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });

  private constructor(
    private readonly baseUrl: string,
    private readonly size: number,
    private readonly taskMs: number,
  ) {}

  /** Creates callers of the entry at a base URL; each job has `size` tasks of `taskMs` milliseconds. */
  static to(baseUrl: string, size: number, taskMs: number): JobLoad {
    return new JobLoad(baseUrl, size, taskMs);
  }

  /** Submits at a constant rate of task starts per second, and resolves once the last job is answered. */
  async submitAtRate(startsPerSecond: number, seconds: number): Promise<void> {
    const intervalMs = (1000 * this.size) / startsPerSecond;
    const count = Math.round((seconds * 1000) / intervalMs);
    const startedAt = performance.now();
    const answers: Promise<void>[] = [];
    for (let index = 0; index < count; index += 1) {
      await until(startedAt + index * intervalMs);
      answers.push(this.submit());
    }
    await Promise.all(answers);
  }

  /** Keeps `inFlight` jobs in flight for a time; resolves to the number of completed tasks per second. */
  async saturate(inFlight: number, seconds: number): Promise<number> {
    const startedAt = performance.now();
    const end = startedAt + seconds * 1000;
    const before = this.tasks;
    const callers = Array.from({ length: inFlight }, async () => {
      while (performance.now() < end) await this.submit();
    });
    await Promise.all(callers);
    return ((this.tasks - before) * 1000) / (performance.now() - startedAt);
  }

  /** Submits one job, optionally for a team, and reads its answer. */
  async submit(team?: string): Promise<void> {
    const input = { ms: this.taskMs, output: PADDING };
    const tasks = Array.from({ length: this.size }, () => ({ input }));
    const url = `${this.baseUrl}/v1/services/booking/jobs/${randomUUID()}?wait=${WAIT_MS}`;
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

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.close();
  }
}

async function until(time: number): Promise<void> {
  const remainingMs = time - performance.now();
  if (remainingMs <= 0) return;
  await new Promise((resolve) => {
    setTimeout(resolve, remainingMs);
  });
}
