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
  /** Where it takes calls, and where its sidecar takes heartbeats, both "ip:port". */
  readonly address: string;
  readonly control: string;
  /** Whether it tells when each of its lives started: then it may start again under its id. */
  readonly isTelling: boolean;
  /** Takes a line on each start, stop and end of a run. */
  readonly note: (text: string) => void;
}

/** A body of any of the calls. */
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

type Handler = (life: LeasedBackend, body: CallBody) => Promise<Reply | undefined>;

/** A backend server behind the platform's calls, one life after the other, with its heartbeats. */
export default class BackendServer {
  private life!: LeasedBackend;

  private id = '';

  private lives = 0;

  private isUp = false;

  private isOver = false;

  private beats: Subscription | undefined;

  private readonly server = createServer((req, res) => {
    this.serve(req, res).catch((error: unknown) => {
      this.opts.checker.find('the soak failed', `${this.opts.name}: ${String(error)}`);
      res.destroy();
    });
  });

  private constructor(private readonly opts: BackendServerOptions) {}

  /** Starts a backend server that announces itself. */
  static start(opts: BackendServerOptions): BackendServer {
    const backend = new BackendServer(opts);
    backend.begin();
    backend.beats = opts.timer.every(BEAT_MS, () => backend.beat());
    return backend;
  }

  /** Ends this life with all that runs; another begins at the address after the pause, ms. */
  crash(pauseMs: number): void {
    if (!this.isUp) return;
    this.end();
    this.opts.timer.after(pauseMs, () => {
      if (!this.isOver) this.begin();
    });
  }

  /**
   * Ends this life as a crash does, but the next one has the same id, if it tells when it started. Orders that came
   * shortly before had no answer and are carried out by the next life.
   */
  restart(pauseMs: number): void {
    if (!this.isUp) return;
    const { timer, isTelling } = this.opts;
    if (!isTelling) {
      this.crash(pauseMs);
      return;
    }
    const { life } = this;
    LATE_BY_MS.forEach((ms) =>
      life.fail({ call: 'start', how: 'late', lateMs: ORDERS_MS + pauseMs + ms }),
    );
    timer.after(ORDERS_MS, () => {
      if (!this.isUp || this.life !== life) return;
      this.end();
      timer.after(pauseMs, () => {
        if (this.isOver) return;
        life.restart();
        this.open();
      });
    });
  }

  /** Ends it for good. */
  close(): void {
    this.isOver = true;
    this.beats?.cancel();
    if (this.isUp) this.end();
  }

  /** Its process is gone: nothing listens and nothing runs. */
  private end(): void {
    this.isUp = false;
    this.server.close();
    this.server.closeAllConnections();
    this.life.crash();
  }

  private begin(): void {
    const { timer, checker, name, isTelling, note } = this.opts;
    this.lives += 1;
    this.id = `${name}-${this.lives}`;
    const { id } = this;
    const needs = new Map<string, number>();
    this.life = LeasedBackend.create({
      ...{ timer, id, service: SERVICE, labels: ['a', 'rack-1'] },
      ...(isTelling ? { born: Math.floor(timer.wall()) } : {}),
      capacity: Resources.of({ cpuMilli: CAPACITY_MILLI, memoryMb: 32_768 }),
      work: (run, spec) => {
        const { ms, cpu, fails } = JSON.parse(spec) as { ms: number; cpu: number; fails: boolean };
        needs.set(taskName(run), cpu);
        return { ms, fails };
      },
      ran: (what, run, reason = what) => {
        const task = taskName(run);
        const cpuMilli = needs.get(task) ?? 0;
        note(`${id} run ${run.attempt} of ${task} ${reason}`);
        if (what !== 'started') checker.runEnded(id, task, what);
        else checker.runStarted({ backend: id, task, cpuMilli }, CAPACITY_MILLI);
      },
    });
    this.open();
  }

  /** It listens, and announces itself. */
  private open(): void {
    const [host, port] = this.opts.address.split(':');
    this.server.listen(Number(port), host);
    this.isUp = true;
    this.beat();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { life, id } = this;
    const call = req.url?.split('/').at(-1) ?? '';
    const handler = handlers[call];
    const body = (await json(req)) as CallBody;
    if (call === 'run-stop') this.opts.note(`${id} run ${body.attempt} of ${body.task} is to stop`);
    if (!this.isUp || !handler) {
      res.destroy();
      return;
    }
    const isMeant = req.headers['x-expected-instance'] === id;
    const reply = isMeant ? await handler(life, body) : { status: 421 };
    if (!reply) {
      res.destroy();
      return;
    }
    const text = JSON.stringify({ clock_ms: life.report().clockMs, ...reply.body });
    res.writeHead(reply.status, { 'content-type': 'application/json' }).end(text);
  }

  /** Sends a heartbeat; one that fails is followed by the next in good time. */
  private beat(): void {
    if (!this.isUp) return;
    const { address, control } = this.opts;
    const { service, labels, sequence, clockMs, capacity, born } = this.life.report();
    const body = JSON.stringify({
      ...{ service, labels, addr: address, zone: 'z1', version: 'v1', slots: 8, state: 'ready' },
      ...{ seq: sequence, clock_ms: clockMs, cold_left_ms: 0, born },
      capacity: { cpu: capacity.cpuMilli, mem_mb: capacity.memoryMb, gpu: 0 },
    });
    const [host, port] = control.split(':');
    const path = `/magnoliakeel/instances/${this.id}`;
    const headers = { 'content-length': Buffer.byteLength(body) };
    const req = request({
      ...{ host, port, path, headers, method: 'PUT', timeout: BEAT_MS, agent: false },
    });
    req.on('response', (res) => res.resume());
    req.on('timeout', () => req.destroy());
    // Its sidecar may be gone; the next heartbeat tells it all again.
    req.on('error', () => undefined);
    req.end(body);
  }
}

/** The platform's words for why a start is refused. */
const REASONS: Readonly<Record<BackendRefusal, string>> = {
  ...{ fenced: 'fence', spent: 'old', late: 'late', full: 'room', unfit: 'room' },
};

/** What each call does; no reply means that the connection breaks. */
const handlers: Readonly<Record<string, Handler>> = {
  'run-start': (life, body) =>
    life
      .start(runOf(body), body.spec ?? '', body.deadline_ms ?? 0, body.fencing_token ?? 0, 0)
      .match(
        (how) =>
          how === 'started' ? { status: 200 } : { status: 409, body: { reason: REASONS[how] } },
        () => undefined,
      ),
  'run-stop': (life, body) =>
    life.stop(runOf(body), body.fencing_token ?? 0, 0).match(
      () => ({ status: 200 }),
      () => undefined,
    ),
  hold: (life, body) =>
    life
      .poll(body.last_seen ?? 0, body.fencing_token ?? 0, body.wait_ms ?? 0, 0, body.deadline_ms)
      .match(
        ({ born, running, ended }) => ({
          status: 200,
          body: {
            born,
            running: running.map(({ run, percent }) => [taskName(run), run.attempt, '', percent]),
            finished: ended.map(({ number, run, reason }) =>
              // The product's word for a lease's end is also the platform's.
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

/** The one service of a soak. */
const SERVICE = 'soak';

const CAPACITY_MILLI = 8_000;

/** Before a restart, for how long orders may come that the next life carries out, ms. */
const ORDERS_MS = 60;

/** How long after the start of the next life, or before it, these arrive, ms. */
const LATE_BY_MS = [-20, 0, 5, 20, 80, 300];

/** How often a heartbeat is sent, ms. */
const BEAT_MS = 500;
