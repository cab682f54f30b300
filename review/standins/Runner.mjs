// Stand-in of a runner: registers at its sidecar, takes starts, stops and holds under a lease. It can be cut off, and
// start again under its id.
import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { json } from 'node:stream/consumers';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

/** Interval of the heartbeats, ms. */
const HEARTBEAT_MS = 1_500;

/** Longest lease, ms: `hold_max_ms`. */
const MAX_LEASE_MS = 1_000;

/** Time from a stop to the end of a run, ms; at most `kill_timeout_ms`. */
const STOP_MS = 20;

const PERCENT = 100;

export default class Runner {
  /**
   * `record` gets each event; `spec` of a job is JSON with the duration of a task, ms. With `tellsBorn` it says when it
   * started, as runners do that start again under their id.
   */
  constructor({
    id,
    service,
    ip,
    port,
    control,
    zone,
    record,
    labels = ['a', 'r1-1'],
    tellsBorn = false,
  }) {
    Object.assign(this, { id, service, ip, port, control, zone, record, labels, tellsBorn });
    this.isCut = false;
    /** Calls that the cut has held up, in the order in which they were sent. */
    this.heldCalls = [];
    this.begin();
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** Begins a life, which knows nothing of the one before. */
  begin() {
    this.startedAt = performance.now();
    this.born = Date.now();
    this.runs = new Map();
    this.highest = new Map();
    this.ends = [];
    this.endCount = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.sequence = 0;
    this.waiting = new Set();
  }

  /** Cuts the runner off: it is not heard, and no call to it is answered. */
  cutOff() {
    this.isCut = true;
    this.record(this.id, 'cut off');
  }

  /** Crashes and starts again under the same id. */
  startAgain() {
    clearTimeout(this.leaseTimer);
    [...this.runs.keys()].forEach((task) => this.end(task, 'crashed'));
    this.begin();
    this.record(this.id, 'started again', { born: this.born });
  }

  /** Ends the cut: the calls that it has held up are carried out late, and their answers are lost. */
  reconnect() {
    this.isCut = false;
    this.record(this.id, 'reconnected', { heldCalls: this.heldCalls.length });
    this.heldCalls.splice(0).forEach(({ call, body }) => {
      if (call === 'run-start') this.runStart(body);
      else if (call === 'run-stop') this.runStop(body);
      else if (call === 'hold' && this.accepts(body.fencing_token)) this.renew(body.deadline_ms);
    });
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.ip, resolve);
    });
    this.beat();
    this.beats = setInterval(() => this.beat(), HEARTBEAT_MS);
    // Until its sidecar listens, a runner calls again soon.
    this.firstBeats = setInterval(() => {
      if (this.isKnown) clearInterval(this.firstBeats);
      else this.beat();
    }, HEARTBEAT_MS / 5);
  }

  close() {
    clearInterval(this.beats);
    clearInterval(this.firstBeats);
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ timer }) => clearTimeout(timer));
    this.server.close();
    this.server.closeAllConnections();
  }

  get clock() {
    return Math.floor(performance.now() - this.startedAt) + 1_000;
  }

  beat() {
    if (this.isCut) return;
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      addr: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 0 },
      labels: this.labels,
      clock_ms: this.clock,
      seq: this.sequence,
      ...(this.tellsBorn && { born: this.born }),
    });
    const [host, port] = this.control.split(':');
    const req = request({
      host,
      port,
      method: 'PUT',
      path: `/magnoliakeel/instances/${this.id}`,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      agent: false,
      timeout: 1_000,
    });
    req.on('response', (res) => {
      if (res.statusCode === 200) this.isKnown = true;
      res.resume();
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => undefined);
    req.end(body);
  }

  async serve(req, res) {
    const call = req.url.split('/').at(-1);
    const body = await json(req);
    if (this.isCut) {
      this.heldCalls.push({ call, body });
      return;
    }
    let reply = { status: 400 };
    if (req.headers['x-expected-instance'] !== this.id) reply = { status: 421 };
    else if (call === 'run-start') reply = this.runStart(body);
    else if (call === 'run-stop') reply = this.runStop(body);
    else if (call === 'hold') reply = await this.hold(body);
    if (this.isCut) return;
    const born = this.tellsBorn && { born: this.born };
    const text = JSON.stringify({ clock_ms: this.clock, ...born, ...reply.body });
    res.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  accepts(token = 0) {
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  renew(until) {
    if (!(until > 0)) return;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clock + MAX_LEASE_MS));
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.runs.keys()].forEach((task) => this.end(task, 'lapsed')),
      this.leaseUntil - this.clock,
    );
  }

  runStart({ task, attempt, spec, deadline_ms: until, fencing_token: token }) {
    if (!this.accepts(token)) return { status: 409, body: { reason: 'fence' } };
    const running = this.runs.get(task);
    if (running?.attempt === attempt) return { status: 200 };
    if (running || attempt <= (this.highest.get(task) ?? 0)) {
      this.renew(until);
      return { status: 409, body: { reason: 'old' } };
    }
    if (until <= this.clock) return { status: 409, body: { reason: 'late' } };
    this.renew(until);
    this.highest.set(task, attempt);
    const { ms } = JSON.parse(spec);
    const timer = setTimeout(() => this.end(task, 'done'), ms);
    this.runs.set(task, { attempt, timer, ms, at: this.clock });
    this.record(this.id, 'started', { task, attempt });
    return { status: 200 };
  }

  runStop({ task, attempt, fencing_token: token }) {
    if (!this.accepts(token)) return { status: 200 };
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0));
    if (this.runs.get(task)?.attempt === attempt) {
      setTimeout(() => this.end(task, 'stopped', attempt), STOP_MS);
    }
    return { status: 200 };
  }

  async hold({ deadline_ms: until, fencing_token: token, last_seen: seen = 0, wait_ms: wait = 0 }) {
    if (this.accepts(token)) {
      this.renew(until);
      this.ends = this.ends.filter(([number]) => number > seen);
    }
    if (wait > 0 && this.ends.length === 0) await this.nextEnd(wait);
    const running = [...this.runs].map(([task, { attempt, at, ms }]) => [
      ...[task, attempt, ''],
      Math.min(PERCENT, Math.floor(((this.clock - at) * PERCENT) / ms)),
      1_000,
    ]);
    return { status: 200, body: { running, finished: this.ends.slice(0, 500) } };
  }

  nextEnd(limitMs) {
    return new Promise((resolve) => {
      let timer;
      const resume = () => {
        clearTimeout(timer);
        this.waiting.delete(resume);
        resolve();
      };
      timer = setTimeout(resume, limitMs);
      this.waiting.add(resume);
    });
  }

  end(task, how, attempt = this.runs.get(task)?.attempt) {
    const run = this.runs.get(task);
    if (!run || run.attempt !== attempt) return;
    clearTimeout(run.timer);
    this.runs.delete(task);
    this.endCount += 1;
    this.ends.push([this.endCount, task, attempt, how, '']);
    this.record(this.id, how, { task, attempt });
    [...this.waiting].forEach((resume) => resume());
  }
}
