/* global clearInterval, clearTimeout, performance, setInterval, setTimeout */
// These rules are off for the TypeScript files of the project, or forbid its usual forms.
/* eslint-disable no-param-reassign */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { call, readJson, sendJson } from './http.mjs';

const HEARTBEAT_MS = 1_500;

const HOLD_MAX_MS = 1_000;
const STOP_MS = 20;
const CLOCK_START_MS = 50_000;

/**
 * Stand-in of a runner that starts whatever it is told to start. A lease on its own clock covers all that runs; a run
 * lasts as many ms as its job's text says, then ends `done`.
 */
export default class Runner {
  /** All runs that were started: task, attempt, runner, times of start and end, and how it ended. */
  runs = [];

  #active = new Map();

  #highestAttempts = new Map();

  #ends = [];

  #endCount = 0;

  #token = 0;

  #leaseUntil = 0;

  #sequence = 0;

  #waiters = new Set();

  #bornAt = performance.now();

  constructor({ id, address, control, record, capacity, service = 'work', zone = 'z1' }) {
    Object.assign(this, { id, address, control, record, capacity, service, zone });
    this.server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
  }

  async listen() {
    const [host, port] = this.address.split(':');
    this.server.listen(Number(port), host);
    await once(this.server, 'listening');
    this.#beat();
    this.timers = [
      setInterval(() => this.#beat(), HEARTBEAT_MS),
      setInterval(() => this.#checkLease(), 5),
    ];
  }

  close() {
    this.timers?.forEach((timer) => clearInterval(timer));
    this.server.close();
    this.server.closeAllConnections();
  }

  get clockMs() {
    return Math.floor(CLOCK_START_MS + performance.now() - this.#bornAt);
  }

  #beat() {
    this.#sequence += 1;
    const body = {
      ...{ service: this.service, addr: this.address, zone: this.zone, version: 'v1', slots: 8 },
      ...{ state: 'ready', cold_left_ms: 0, capacity: this.capacity, labels: ['a', 'r1-1'] },
      ...{ clock_ms: this.clockMs, seq: this.#sequence },
    };
    call(this.control, 'PUT', `/magnoliakeel/instances/${this.id}`, { body, timeoutMs: 1_000 });
  }

  async #serve(req, res) {
    const name = req.url.split('/').pop();
    const body = await readJson(req);
    if (req.headers['x-expected-instance'] !== this.id) {
      sendJson(res, 421, { clock_ms: this.clockMs });
      return;
    }
    await this.#execute(name, body, res);
  }

  async #execute(name, body, res) {
    const answer = (status, fields = {}) => {
      sendJson(res, status, { clock_ms: this.clockMs, ...fields });
    };
    const { fencing_token: token = 0 } = body;
    const isFenced = token < this.#token;
    if (!isFenced) this.#token = token;
    if (name === 'run-start') answer(...this.#start(body, isFenced));
    else if (name === 'run-stop') {
      if (!isFenced) this.#stop(body);
      answer(isFenced ? 409 : 200, isFenced ? { reason: 'fence' } : {});
    } else if (name === 'hold') {
      if (!isFenced) this.#hold(body);
      await this.#waitForEnd(body.wait_ms ?? 0);
      answer(200, this.#lists());
    } else answer(404);
  }

  #start({ task, attempt, spec, deadline_ms: deadline }, isFenced) {
    if (isFenced) return [409, { reason: 'fence' }];
    // A start that is executed after its own time is refused, however long the lease of the others lasts.
    if (deadline <= this.clockMs) return [409, { reason: 'late' }];
    this.#extendLease(deadline);
    if (this.#active.get(task)?.attempt === attempt) return [200];
    if (attempt <= (this.#highestAttempts.get(task) ?? 0) || this.#active.has(task))
      return [409, { reason: 'old' }];
    this.#highestAttempts.set(task, attempt);
    const run = {
      task,
      attempt,
      runner: this.id,
      startedAt: this.record.nowMs,
      endedAt: undefined,
    };
    run.workMs = Number(spec);
    run.timer = setTimeout(() => this.#end(run, 'done'), run.workMs);
    this.runs.push(run);
    this.#active.set(task, run);
    this.record.add(`${this.id}: run ${task} attempt ${attempt} begins`);
    return [200];
  }

  #stop({ task, attempt }) {
    this.#highestAttempts.set(task, Math.max(this.#highestAttempts.get(task) ?? 0, attempt));
    const run = this.#active.get(task);
    if (run?.attempt === attempt) setTimeout(() => this.#end(run, 'stopped'), STOP_MS);
  }

  #hold({ last_seen: lastSeen = 0, deadline_ms: deadline }) {
    this.#ends = this.#ends.filter(([number]) => number > lastSeen);
    this.#extendLease(deadline);
  }

  async #waitForEnd(waitMs) {
    if (waitMs <= 0 || this.#ends.length > 0) return;
    await new Promise((resolve) => {
      const wake = () => {
        this.#waiters.delete(wake);
        resolve();
      };
      this.#waiters.add(wake);
      setTimeout(wake, waitMs);
    });
  }

  #lists() {
    const now = this.record.nowMs;
    const running = [...this.#active.values()].map(({ task, attempt, startedAt, workMs }) => [
      ...[task, attempt, '', Math.min(99, Math.floor(((now - startedAt) * 100) / workMs)), 100],
    ]);
    return { running, finished: this.#ends.slice(0, 500) };
  }

  #extendLease(deadline) {
    if (deadline === undefined) return;
    const until = Math.min(deadline, this.clockMs + HOLD_MAX_MS);
    this.#leaseUntil = Math.max(this.#leaseUntil, until);
  }

  #checkLease() {
    if (this.clockMs < this.#leaseUntil) return;
    [...this.#active.values()].forEach((run) => this.#end(run, 'lapsed'));
  }

  #end(run, how) {
    if (this.#active.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.#active.delete(run.task);
    run.endedAt = this.record.nowMs;
    run.how = how;
    this.#endCount += 1;
    this.#ends.push([this.#endCount, run.task, run.attempt, how, '']);
    this.record.add(`${this.id}: run ${run.task} attempt ${run.attempt} ends ${how}`);
    [...this.#waiters].forEach((wake) => wake());
  }
}
