import { Agent, type Dispatcher } from 'undici';
import type Cluster from '../harness/Cluster';
import type Attempt from './Attempt';
import type Work from './Work';

/** How long a job's submission waits for the answer. */
const WAIT_MS = 4000;
/** How long a caller waits for anything at all on a connection. */
const OVERDUE_MS = 8000;
const REQUEST_DEADLINE_MS = 6000;
/** Errors before anything was sent. */
const REFUSED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);
const OVERDUE_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

interface Output {
  readonly output?: unknown;
}

interface Body {
  readonly reason?: string;
  readonly retryAfterMs?: number;
  readonly results?: readonly { readonly output: Output }[];
}

/** Sends the requests of all callers to the entries and notes what comes back. */
export default class EntryClient {
  private readonly agent = new Agent({
    headersTimeout: OVERDUE_MS,
    bodyTimeout: OVERDUE_MS,
    connect: { timeout: 2000 },
    pipelining: 1,
  });

  private constructor(private readonly cluster: Cluster) {}

  /** Creates the client of a cluster's callers. */
  static of(cluster: Cluster): EntryClient {
    return new EntryClient(cluster);
  }

  /** Submits a piece of work through an entry. */
  submit(work: Work, entry: string): Promise<Attempt> {
    return this.send(work, entry, 'submit', work.kind === 'job' ? jobOf(work) : requestOf(work));
  }

  /** Cancels a job through an entry. */
  cancel(work: Work, entry: string): Promise<Attempt> {
    const path = `/v1/services/booking/jobs/${work.id}`;
    return this.send(work, entry, 'cancel', { method: 'DELETE', path });
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    work: Work,
    entry: string,
    action: Attempt['action'],
    req: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<Attempt> {
    const attempt: Attempt = {
      ...{ entry, action, sentAt: performance.now(), endedAt: undefined },
      ...{ outcome: 'open', reason: '', retryAfterMs: 0, outputs: [] },
    };
    work.attempts.push(attempt);
    try {
      const origin = this.cluster.callersOf(entry);
      const res = await this.agent.request({ ...req, origin });
      const text = await res.body.text();
      Object.assign(attempt, readAnswer(work, res, text));
    } catch (error) {
      const { code = '', message } = error as { code?: string; message: string };
      attempt.outcome = outcomeOfError(code);
      attempt.reason = `${code} ${message}`;
    }
    attempt.endedAt = performance.now();
    return attempt;
  }
}

function jobOf({ id, taskMs }: Work): Omit<Dispatcher.RequestOptions, 'origin'> {
  const tasks = taskMs.map((ms, n) => ({ input: { ms, output: { id, n } } }));
  const path = `/v1/services/booking/jobs/${id}?wait=${WAIT_MS}`;
  return { method: 'PUT', path, body: JSON.stringify({ tasks }) };
}

function requestOf(work: Work): Omit<Dispatcher.RequestOptions, 'origin'> {
  const { id, taskMs, keyed, idempotent } = work;
  const headers = {
    'magnoliakeel-idempotent': String(idempotent),
    'magnoliakeel-deadline-ms': String(REQUEST_DEADLINE_MS),
    ...(keyed ? { 'idempotency-key': id } : {}),
  };
  const body = JSON.stringify({ ms: taskMs[0], output: { id, n: 0 } });
  return { method: 'POST', path: '/v1/services/booking/requests', headers, body };
}

function readAnswer(
  work: Work,
  res: Dispatcher.ResponseData,
  text: string,
): Pick<Attempt, 'outcome' | 'reason' | 'retryAfterMs' | 'outputs'> {
  const outcome = String(res.headers['magnoliakeel-outcome'] ?? `status ${res.statusCode}`);
  const body = JSON.parse(text) as Body & Output;
  const seconds = Number(res.headers['retry-after'] ?? 0);
  const outputs = outcome === 'completed' ? outputsOf(work, body) : [];
  const retryAfterMs = body.retryAfterMs ?? seconds * 1000;
  return { outcome, reason: body.reason ?? '', retryAfterMs, outputs };
}

function outputsOf(work: Work, body: Body & Output): unknown[] {
  if (work.kind === 'request') return [body.output];
  return (body.results ?? []).map(({ output }) => output.output);
}

function outcomeOfError(code: string): string {
  if (REFUSED_CODES.has(code)) return 'refused';
  return OVERDUE_CODES.has(code) ? 'overdue' : 'broken';
}
