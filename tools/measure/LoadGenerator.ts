import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';
import type Cluster from '../harness/Cluster';
import type Arrival from './Arrival';
import type AnsweredArrival from './AnsweredArrival';

/**
 * Open-loop load generator: submits arrivals on schedule, whether or not earlier ones are answered.
 * Like a load balancer it tries the next entry when one can't be reached, and
 * like a caller it resubmits a job whose connection broke.
 */
export default class LoadGenerator {
  private readonly agent = new Agent({ connections: 4096, headersTimeout: 0, bodyTimeout: 0 });

  private startedAt = 0;

  private constructor(
    private readonly cluster: Cluster,
    private readonly deadlineMs: number | undefined,
  ) {}

  /** Creates a generator that calls the cluster's entries; single requests get the deadline, in milliseconds. */
  static create(cluster: Cluster, deadlineMs?: number): LoadGenerator {
    return new LoadGenerator(cluster, deadlineMs);
  }

  /** Submits all arrivals, and returns their outcomes once the last is answered. */
  async run(arrivals: readonly Arrival[]): Promise<AnsweredArrival[]> {
    this.startedAt = performance.now();
    const answers = arrivals.map(async (arrival) => {
      await sleep(arrival.atMs);
      return arrival.kind === 'job' ? this.job(arrival) : this.request(arrival);
    });
    const all = await Promise.all(answers);
    await this.agent.close();
    return all;
  }

  private async request(arrival: Arrival): Promise<AnsweredArrival> {
    const body = JSON.stringify({ ms: arrival.taskRunMs[0] });
    const headers: Record<string, string> = { 'magnoliakeel-team': arrival.team };
    if (this.deadlineMs) headers['magnoliakeel-deadline-ms'] = String(this.deadlineMs);
    const path = '/v1/services/booking/requests';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      try {
        const res = await this.send(arrival.entry + attempt, path, {
          method: 'POST',
          headers,
          body,
        });
        return this.answered(arrival, res);
      } catch (error) {
        if (!isUnsent(error)) return this.answered(arrival, 'broken');
      }
    }
    return this.answered(arrival, 'broken');
  }

  private async job(arrival: Arrival): Promise<AnsweredArrival> {
    const id = randomUUID();
    const body = JSON.stringify({ tasks: arrival.taskRunMs.map((ms) => ({ input: { ms } })) });
    const headers = {
      'magnoliakeel-team': arrival.team,
      'magnoliakeel-created': String(Date.now()),
    };
    const path = `/v1/services/booking/jobs/${id}`;
    this.cancelLater(arrival, path, headers);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      try {
        const init = { method: 'PUT', headers, body } as const;
        const res = await this.send(arrival.entry + attempt, `${path}?wait=${WAIT_MS}`, init);
        if (res !== 'unknown') return this.answered(arrival, res);
      } catch {
        await sleep(RETRY_MS);
      }
    }
    return this.answered(arrival, 'broken');
  }

  private async cancelLater(
    { cancelAfterMs, entry }: Arrival,
    path: string,
    headers: Record<string, string>,
  ): Promise<void> {
    if (cancelAfterMs === undefined) return;
    await sleep(cancelAfterMs);
    await this.send(entry, path, { method: 'DELETE', headers }).catch(() => undefined);
  }

  private async send(
    entry: number,
    path: string,
    init: { method: 'POST' | 'PUT' | 'DELETE'; headers?: Record<string, string>; body?: string },
  ): Promise<string> {
    const names = this.cluster.entryNames;
    const base = this.cluster.callersUrl(names[entry % names.length]!);
    const res = await request(base + path, { ...init, dispatcher: this.agent });
    await res.body.dump();
    return String(res.headers['magnoliakeel-outcome'] ?? res.statusCode);
  }

  private answered(arrival: Arrival, outcome: string): AnsweredArrival {
    return { arrival, outcome, responseMs: performance.now() - this.startedAt - arrival.atMs };
  }
}

const MAX_ATTEMPTS = 20;
const RETRY_MS = 200;
const WAIT_MS = 60_000;

function isUnsent(error: unknown): boolean {
  return (error as { code?: string }).code === 'ECONNREFUSED';
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
