import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import { json } from 'node:stream/consumers';
import type TimerService from '../../src/core/TimerService';
import type Subscription from '../../src/core/Subscription';
import type BackendRefusal from '../../src/runs/BackendRefusal';
import Resources from '../../src/room/Resources';
import parseTaskName from '../../platform/parseTaskName';
import taskName from '../../platform/taskName';
import LeasedBackend from '../leasedBackend/LeasedBackend';
import type Checker from './Checker';

interface BackendServerOptions {
  readonly timer: TimerService;
  readonly checker: Checker;
  readonly name: string;
  /** Where it serves calls, and where its sidecar receives heartbeats, both "ip:port". */
  readonly address: string;
  readonly control: string;
  /** Whether it reports the start time of each incarnation, and so may restart under the same id. */
  readonly reportsStartTime: boolean;
  /** Writes a line on each start, stop and end of a run to the log. */
  readonly logLine: (text: string) => void;
}

/** Body of any of the calls. */
interface CallBody {
  readonly task?: string;
  readonly attempt?: number;
  readonly spec?: string;
  readonly deadline_ms?: number;
  readonly fencing_token?: number;
  readonly last_seen?: number;
  readonly wait_ms?: number;
}

interface Reply {
  readonly status: number;
  readonly body?: object;
}

type Handler = (incarnation: LeasedBackend, body: CallBody) => Promise<Reply | undefined>;

/** A simulated backend server that serves the platform's calls and sends heartbeats, with one or more incarnations. */
export default class BackendServer {
  private incarnation!: LeasedBackend;

  private id = '';

  private incarnationCount = 0;

  private isUp = false;

  private isClosed = false;

  private heartbeats: Subscription | undefined;

  private readonly server = createServer((req, res) => {
    this.serve(req, res).catch((error: unknown) => {
      this.opts.checker.report('the soak failed', `${this.opts.name}: ${String(error)}`);
      res.destroy();
    });
  });

  private constructor(private readonly opts: BackendServerOptions) {}

  /** Starts a backend server that sends heartbeats. */
  static start(opts: BackendServerOptions): BackendServer {
    const backend = new BackendServer(opts);
    backend.startIncarnation();
    backend.heartbeats = opts.timer.every(HEARTBEAT_MS, () => backend.sendHeartbeat());
    return backend;
  }

  /** Ends this incarnation and its runs; another starts at the address after the pause, ms. */
  crash(pauseMs: number): void {
    if (!this.isUp) return;
    this.stopProcess();
    this.opts.timer.after(pauseMs, () => {
      if (!this.isClosed) this.startIncarnation();
    });
  }

  /**
   * Ends this incarnation as a crash does, but the next one has the same id if it reports its start time. Start requests
   * that arrived shortly before are not answered, and are carried out by the next incarnation.
   */
  restart(pauseMs: number): void {
    if (!this.isUp) return;
    const { timer, reportsStartTime } = this.opts;
    if (!reportsStartTime) {
      this.crash(pauseMs);
      return;
    }
    const { incarnation } = this;
    DEFERRED_BY_MS.forEach((ms) =>
      incarnation.injectFault({
        call: 'start',
        how: 'late',
        lateMs: DEFERRED_STARTS_MS + pauseMs + ms,
      }),
    );
    timer.after(DEFERRED_STARTS_MS, () => {
      if (!this.isUp || this.incarnation !== incarnation) return;
      this.stopProcess();
      timer.after(pauseMs, () => {
        if (this.isClosed) return;
        incarnation.restart();
        this.listen();
      });
    });
  }

  /** Stops the backend server for good. */
  close(): void {
    this.isClosed = true;
    this.heartbeats?.cancel();
    if (this.isUp) this.stopProcess();
  }

  /** Simulates the end of the process: nothing listens and nothing runs. */
  private stopProcess(): void {
    this.isUp = false;
    this.server.close();
    this.server.closeAllConnections();
    this.incarnation.crash();
  }

  private startIncarnation(): void {
    const { timer, checker, name, reportsStartTime, logLine } = this.opts;
    this.incarnationCount += 1;
    this.id = `${name}-${this.incarnationCount}`;
    const { id } = this;
    const needs = new Map<string, number>();
    this.incarnation = LeasedBackend.create({
      ...{ timer, id, service: SERVICE, labels: ['a', 'rack-1'] },
      ...(reportsStartTime ? { born: Math.floor(timer.wall()) } : {}),
      capacity: Resources.of({ cpuMilli: CAPACITY_MILLI, memoryMb: 32_768 }),
      work: (run, spec) => {
        const { ms, cpu, fails } = JSON.parse(spec) as { ms: number; cpu: number; fails: boolean };
        needs.set(taskName(run), cpu);
        return { ms, fails };
      },
      onRunChange: (what, run, reason = what) => {
        const task = taskName(run);
        const cpuMilli = needs.get(task) ?? 0;
        logLine(`${id} run ${run.attempt} of ${task} ${reason}`);
        if (what !== 'started') checker.runEnded(id, task, what);
        else checker.runStarted({ backend: id, task, cpuMilli }, CAPACITY_MILLI);
      },
    });
    this.listen();
  }

  /** Listens and sends the first heartbeat. */
  private listen(): void {
    const [host, port] = this.opts.address.split(':');
    this.server.listen(Number(port), host);
    this.isUp = true;
    this.sendHeartbeat();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { incarnation, id } = this;
    const call = req.url?.split('/').at(-1) ?? '';
    const handler = handlers[call];
    const body = (await json(req)) as CallBody;
    if (call === 'run-stop')
      this.opts.logLine(`${id} run ${body.attempt} of ${body.task} is to stop`);
    if (!this.isUp || !handler) {
      res.destroy();
      return;
    }
    const isMeant = req.headers['x-expected-instance'] === id;
    const reply = isMeant ? await handler(incarnation, body) : { status: 421 };
    if (!reply) {
      res.destroy();
      return;
    }
    const text = JSON.stringify({ clock_ms: incarnation.nextHeartbeat().clockMs, ...reply.body });
    res.writeHead(reply.status, { 'content-type': 'application/json' }).end(text);
  }

  /** Sends a heartbeat; a failed one is not repeated, as the next follows soon. */
  private sendHeartbeat(): void {
    if (!this.isUp) return;
    const { address, control } = this.opts;
    const { service, labels, sequence, clockMs, capacity, born } = this.incarnation.nextHeartbeat();
    const body = JSON.stringify({
      ...{ service, labels, addr: address, zone: 'z1', version: 'v1', slots: 8, state: 'ready' },
      ...{ seq: sequence, clock_ms: clockMs, cold_left_ms: 0, born },
      capacity: { cpu: capacity.cpuMilli, mem_mb: capacity.memoryMb, gpu: 0 },
    });
    const [host, port] = control.split(':');
    const path = `/magnoliakeel/instances/${this.id}`;
    const headers = { 'content-length': Buffer.byteLength(body) };
    const req = request({
      ...{ host, port, path, headers, method: 'PUT', timeout: HEARTBEAT_MS, agent: false },
    });
    req.on('response', (res) => res.resume());
    req.on('timeout', () => req.destroy());
    // The sidecar may be down; the next heartbeat repeats everything.
    req.on('error', () => undefined);
    req.end(body);
  }
}

/** The platform's reasons for refused starts. */
const REASONS: Readonly<Record<BackendRefusal, string>> = {
  ...{ fenced: 'fence', spent: 'old', late: 'late', full: 'room', unfit: 'room' },
};

/** Handlers by call; the connection is broken if a handler gives no reply. */
const handlers: Readonly<Record<string, Handler>> = {
  'run-start': (incarnation, body) =>
    incarnation
      .start(runOf(body), body.spec ?? '', body.deadline_ms ?? 0, body.fencing_token ?? 0, 0)
      .match(
        (how) =>
          how === 'started' ? { status: 200 } : { status: 409, body: { reason: REASONS[how] } },
        () => undefined,
      ),
  'run-stop': (incarnation, body) =>
    incarnation.stop(runOf(body), body.fencing_token ?? 0, 0).match(
      () => ({ status: 200 }),
      () => undefined,
    ),
  hold: (incarnation, body) =>
    incarnation
      .poll(body.last_seen ?? 0, body.fencing_token ?? 0, body.wait_ms ?? 0, 0, body.deadline_ms)
      .match(
        ({ born, running, ended }) => ({
          status: 200,
          body: {
            born,
            running: running.map(({ run, percent }) => [taskName(run), run.attempt, '', percent]),
            finished: ended.map(({ number, run, reason }) =>
              // Both sides use the same reason for the expiry of a lease.
              [number, taskName(run), run.attempt, reason, ''],
            ),
          },
        }),
        () => undefined,
      ),
};

function runOf({ task = '', attempt = 0 }: CallBody) {
  return { ...parseTaskName(task)!, attempt };
}

/** The only service of a soak. */
const SERVICE = 'soak';

const CAPACITY_MILLI = 8_000;

/** Start requests received this long before a restart are carried out by the next incarnation, ms. */
const DEFERRED_STARTS_MS = 60;

/** When these take effect relative to the start of the next incarnation, ms. */
const DEFERRED_BY_MS = [-20, 0, 5, 20, 80, 300];

/** Interval of the heartbeats, ms. */
const HEARTBEAT_MS = 500;
