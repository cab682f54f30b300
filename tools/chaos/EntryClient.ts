import { Agent, type Dispatcher } from 'undici';
import type Cluster from '../harness/Cluster';
import type CallerAttempt from './CallerAttempt';
import type WorkItem from './WorkItem';

/** Time that a job's submission asks the entry to wait for the answer. */
const WAIT_MS = 4000;
/** Time without any data on a connection after which the caller gives up. */
const OVERDUE_MS = 8000;
const REQUEST_DEADLINE_MS = 6000;
/** Errors that occur before anything is sent. */
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

/** Sends the requests of all callers to the entries and records their answers. */
export default class EntryClient {
  private readonly agent = new Agent({
    headersTimeout: OVERDUE_MS,
    bodyTimeout: OVERDUE_MS,
    connect: { timeout: 2000 },
    pipelining: 1,
  });

  private constructor(private readonly cluster: Cluster) {}

  /** Creates a client of a cluster's entries. */
  static of(cluster: Cluster): EntryClient {
    return new EntryClient(cluster);
  }

  /** Submits a work item through an entry. */
  submit(work: WorkItem, entry: string): Promise<CallerAttempt> {
    return this.send(work, entry, 'submit', work.kind === 'job' ? jobOf(work) : requestOf(work));
  }

  /** Cancels a job through an entry. */
  cancel(work: WorkItem, entry: string): Promise<CallerAttempt> {
    const path = `/v1/services/booking/jobs/${work.id}`;
    return this.send(work, entry, 'cancel', { method: 'DELETE', path });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    work: WorkItem,
    entry: string,
    action: CallerAttempt['action'],
    req: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<CallerAttempt> {
    const attempt: CallerAttempt = {
      ...{ entry, action, sentAt: performance.now(), endedAt: undefined },
      ...{ outcome: 'open', reason: '', retryAfterMs: 0, outputs: [] },
    };
    work.attempts.push(attempt);
    try {
      const origin = this.cluster.callersUrl(entry);
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

function jobOf({ id, taskMs }: WorkItem): Omit<Dispatcher.RequestOptions, 'origin'> {
  const tasks = taskMs.map((ms, n) => ({ input: { ms, output: { id, n } } }));
  const path = `/v1/services/booking/jobs/${id}?wait=${WAIT_MS}`;
  return { method: 'PUT', path, body: JSON.stringify({ tasks }) };
}

function requestOf(work: WorkItem): Omit<Dispatcher.RequestOptions, 'origin'> {
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
  work: WorkItem,
  res: Dispatcher.ResponseData,
  text: string,
): Pick<CallerAttempt, 'outcome' | 'reason' | 'retryAfterMs' | 'outputs'> {
  const outcome = String(res.headers['magnoliakeel-outcome'] ?? `status ${res.statusCode}`);
  const body = JSON.parse(text) as Body & Output;
  const seconds = Number(res.headers['retry-after'] ?? 0);
  const outputs = outcome === 'completed' ? outputsOf(work, body) : [];
  const retryAfterMs = body.retryAfterMs ?? seconds * 1000;
  return { outcome, reason: body.reason ?? '', retryAfterMs, outputs };
}

function outputsOf(work: WorkItem, body: Body & Output): unknown[] {
  if (work.kind === 'request') return [body.output];
  return (body.results ?? []).map(({ output }) => output.output);
}

function outcomeOfError(code: string): string {
  if (REFUSED_CODES.has(code)) return 'refused';
  return OVERDUE_CODES.has(code) ? 'overdue' : 'broken';
}
