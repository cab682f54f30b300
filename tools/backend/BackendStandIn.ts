import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { json } from 'node:stream/consumers';
import type TimerService from '../../src/core/TimerService';
import type StandInCounts from './StandInCounts';
import type StandInFaults from './StandInFaults';
import type StartRecorder from './StartRecorder';

interface TaskInput {
  readonly ms: number;
  readonly output?: unknown;
  readonly fail?: boolean;
}

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/**
 * Stands in for a backend server: accepts tasks whose input gives their run time, and
 * counts the starts of each task, so that repeated starts are visible.
 */
export default class BackendStandIn {
  private readonly server: Server;

  private readonly starts = new Map<string, number>();

  private readonly counts: StandInCounts = {
    ...{ running: 0, started: 0, completed: 0, failed: 0, overrun: 0, aborted: 0, peak: 0 },
  };

  private readonly drainWaiters = new Set<() => void>();

  private faults: StandInFaults = {
    ...{ failAll: false, slowFactor: 1, hang: false, closeMidway: false, delayMs: 0 },
  };

  private readonly handlers: Readonly<Record<string, Handler>> = {
    'POST /tasks': (req, res) => this.handleTask(req, res),
    'GET /starts': (_req, res) => answer(res, 200, Object.fromEntries(this.starts)),
    'GET /counts': (_req, res) => answer(res, 200, this.counts),
    'PUT /faults': (req, res) => this.putFaults(req, res),
  };

  private constructor(
    private readonly timer: TimerService,
    private readonly slots: number,
    private readonly recorder: StartRecorder | undefined,
  ) {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch((err: unknown) => answer(res, 400, { error: String(err) }));
    });
  }

  /** Creates a stand-in with a number of slots, and optionally a recorder to which it reports each start. */
  static create(timer: TimerService, slots: number, recorder?: StartRecorder): BackendStandIn {
    return new BackendStandIn(timer, slots, recorder);
  }

  /** Listens and returns the address, "ip:port"; port 0 picks a free port. */
  async listen(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Resolves once no task is running. */
  drain(): Promise<void> {
    if (this.counts.running === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.drainWaiters.add(resolve);
    });
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const handler = this.handlers[`${req.method} ${req.url}`];
    if (handler) await handler(req, res);
    else answer(res, 404, { error: 'not found' });
  }

  private async putFaults(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const faults = (await json(req)) as Partial<StandInFaults>;
    this.faults = { ...this.faults, ...faults };
    answer(res, 200, this.faults);
  }

  private async handleTask(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const input = (await json(req)) as TaskInput;
    if (this.counts.running >= this.slots) {
      this.counts.overrun += 1;
      answer(res, 503, { error: 'all slots are taken' });
      return;
    }
    const task = String(req.headers['x-task']);
    this.countStart(task);
    const closed = new AbortController();
    res.once('close', () => closed.abort());
    await this.recorder?.record(task, input.output);
    await this.run(input, res, closed.signal);
    this.countEnd();
  }

  private async run(input: TaskInput, res: ServerResponse, closed: AbortSignal): Promise<void> {
    const { faults } = this;
    const ms = faults.delayMs + input.ms * faults.slowFactor;
    if (faults.hang) await this.hang(closed);
    else if (ms > 0) await this.timer.sleep(faults.closeMidway ? ms / 2 : ms, closed);
    if (closed.aborted) {
      this.counts.aborted += 1;
      return;
    }
    if (faults.closeMidway) {
      res.destroy();
      return;
    }
    const isFailed = faults.failAll || input.fail === true;
    this.counts[isFailed ? 'failed' : 'completed'] += 1;
    if (isFailed) answer(res, 500, { ms, error: 'told to fail' });
    else answer(res, 200, { ms, output: input.output });
  }

  private async hang(closed: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      if (closed.aborted) resolve();
      closed.addEventListener('abort', () => resolve(), { once: true });
    });
  }

  private countStart(task: string): void {
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
    this.counts.started += 1;
    this.counts.running += 1;
    this.counts.peak = Math.max(this.counts.peak, this.counts.running);
  }

  private countEnd(): void {
    this.counts.running -= 1;
    if (this.counts.running > 0) return;
    this.drainWaiters.forEach((resolve) => resolve());
    this.drainWaiters.clear();
  }
}

function answer(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
