// A stand-in for a runner: runs tasks under a lease as the users' pages describe, and records what it runs.
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { text } from 'node:stream/consumers';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const KILL_MS = 30;
const MAX_LEASE_MS = 1_000;
const HEARTBEAT_MS = 1_500;

/**
 * Starts a runner. The spec of a task is JSON: `ms` is how long it works, `fails` whether it fails then. `note` is
 * called with each event. `faults.start`, if set, is called with each start and may return 'drop', 'lose' or the
 * delay in ms after which it is carried out without an answer.
 */
export default async function startRunner(opts) {
  const { ip, port, control, service, zone, note, capacity, labels = ['a', 'r1'] } = opts;
  const id = opts.id ?? `i-${ip}-${Date.now().toString(36)}`;
  let startedAt = performance.now();
  let born = Date.now();
  const clock = () => Math.floor(50_000 + performance.now() - startedAt);
  const running = new Map();
  const highest = new Map();
  const waiters = new Set();
  const faults = {};
  let finished = [];
  let ends = 0;
  let token = 0;
  let leaseUntil = 0;
  let leaseTimer;
  let sequence = 0;
  let state = 'ready';
  let isAlive = true;
  let isClosed = false;

  const used = () => [...running.values()].reduce((sum, run) => sum + run.cpu, 0);
  const end = (run, how) => {
    if (running.get(run.task) !== run) return;
    clearTimeout(run.timer);
    running.delete(run.task);
    ends += 1;
    finished.push([ends, run.task, run.attempt, how, '']);
    note({ event: 'end', runner: id, task: run.task, attempt: run.attempt, how });
    [...waiters].forEach((wake) => wake());
  };
  const extend = (deadline) => {
    if (deadline === undefined) return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + MAX_LEASE_MS));
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(
      () => [...running.values()].forEach((run) => end(run, 'lapsed')),
      Math.max(0, leaseUntil - clock()),
    );
  };
  const isFenced = ({ fencing_token: seen = 0 }) => {
    if (seen < token) return true;
    token = seen;
    return false;
  };
  const ownWords = () => ({ clock_ms: clock(), ...(opts.reportsBirth ? { born } : {}) });
  const refused = (reason) => [409, { ...ownWords(), reason }];
  const calls = {
    'run-start': (body) => {
      if (isFenced(body)) return refused('fence');
      const { task, attempt } = body;
      if (running.get(task)?.attempt === attempt) {
        extend(body.deadline_ms);
        return [200, ownWords()];
      }
      if (attempt <= (highest.get(task) ?? 0) || running.has(task)) {
        extend(body.deadline_ms);
        return refused('old');
      }
      if (body.deadline_ms <= clock()) return refused('late');
      extend(body.deadline_ms);
      highest.set(task, attempt);
      const work = JSON.parse(body.spec);
      const run = { task, attempt, cpu: work.cpu ?? 0, startedAt: clock(), ms: work.ms };
      running.set(task, run);
      run.timer = setTimeout(() => end(run, work.fails ? 'failed' : 'done'), work.ms);
      note({ event: 'start', runner: id, task, attempt, spec: body.spec, used: used(), capacity });
      return [200, ownWords()];
    },
    'run-stop': (body) => {
      if (isFenced(body)) return refused('fence');
      const { task, attempt } = body;
      highest.set(task, Math.max(highest.get(task) ?? 0, attempt));
      const run = running.get(task);
      if (run?.attempt === attempt) setTimeout(() => end(run, 'stopped'), KILL_MS);
      return [200, ownWords()];
    },
    hold: async (body, closed) => {
      if (isFenced(body)) return refused('fence');
      extend(body.deadline_ms);
      finished = finished.filter(([number]) => number > (body.last_seen ?? 0));
      if (finished.length === 0 && body.wait_ms > 0) {
        await new Promise((resolve) => {
          let timer;
          const wake = () => {
            clearTimeout(timer);
            waiters.delete(wake);
            resolve();
          };
          timer = setTimeout(wake, body.wait_ms);
          waiters.add(wake);
          closed.then(wake);
        });
      }
      const rows = [...running.values()].map(({ task, attempt, startedAt: from, ms }) => [
        task,
        attempt,
        '',
        Math.min(99, Math.floor(((clock() - from) * 100) / ms)),
        0,
      ]);
      return [200, { ...ownWords(), running: rows, finished: finished.slice(0, 500) }];
    },
  };

  const server = http.createServer(async (req, res) => {
    const body = JSON.parse((await text(req)) || '{}');
    const name = req.url.split('/').pop();
    if (!isAlive) return;
    if (req.headers['x-expected-instance'] && req.headers['x-expected-instance'] !== id) {
      res.writeHead(421).end();
      return;
    }
    const closed = new Promise((resolve) => {
      res.once('close', resolve);
    });
    const fault = faults[name]?.(body);
    if (fault === 'drop') return;
    if (typeof fault === 'number') {
      note({ event: 'fault', runner: id, call: name, task: body.task, lateMs: fault });
      setTimeout(() => isAlive && calls[name](body, closed), fault);
      return;
    }
    const [status, answer] = await calls[name](body, closed);
    if (fault === 'lose' || res.destroyed || !isAlive) return;
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
  });
  server.keepAliveTimeout = 60_000;
  await listen(server, port, ip);

  const [controlHost, controlPort] = control.split(':');
  const call = (method, body) =>
    new Promise((resolve) => {
      const req = http.request(
        {
          host: controlHost,
          port: controlPort,
          method,
          path: `/magnoliakeel/instances/${id}`,
          headers: { 'content-type': 'application/json' },
          timeout: 1_000,
        },
        (res) => {
          res.resume();
          res.once('end', () => resolve(res.statusCode));
          res.once('error', () => resolve(0));
        },
      );
      req.once('timeout', () => req.destroy());
      req.once('error', () => resolve(0));
      req.end(body === undefined ? undefined : JSON.stringify(body));
    });
  const beat = async () => {
    sequence += 1;
    const told = state;
    const status = await call('PUT', {
      service,
      addr: `${ip}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity,
      labels,
      ...ownWords(),
      seq: sequence,
    });
    note({ event: 'heartbeat', runner: id, state: told, status });
    return status;
  };
  let beats = setInterval(beat, HEARTBEAT_MS);
  beat();
  const loseAll = () => {
    clearInterval(beats);
    clearTimeout(leaseTimer);
    running.forEach((run) => {
      clearTimeout(run.timer);
      note({ event: 'end', runner: id, task: run.task, attempt: run.attempt, how: 'crashed' });
    });
    running.clear();
  };
  return {
    id,
    faults,
    beat,
    running: () => [...running.keys()],
    drain() {
      state = 'draining';
      return beat();
    },
    leave: () => call('DELETE'),
    /**
     * Crashes, is down for `downMs`, and starts again under its id without any former state. While it is down and dark,
     * nothing answers; otherwise connections are refused. The first heartbeat of its next life comes after `firstBeatMs`.
     */
    async crash(downMs, firstBeatMs, isDark = true) {
      isAlive = false;
      loseAll();
      note({ event: 'trouble', what: isDark ? 'is dark' : 'crashed', runner: id });
      if (!isDark) server.close();
      if (!isDark) server.closeAllConnections();
      await sleep(downMs);
      server.closeAllConnections();
      if (isClosed) return;
      if (!isDark) await listen(server, port, ip);
      highest.clear();
      finished = [];
      ends = 0;
      token = 0;
      leaseUntil = 0;
      sequence = 0;
      startedAt = performance.now();
      born = Date.now();
      isAlive = true;
      note({ event: 'trouble', what: 'started again', runner: id, born });
      await sleep(firstBeatMs);
      beats = setInterval(beat, HEARTBEAT_MS);
      await beat();
    },
    /** Ends as by a crash: everything that runs is gone, and connections are refused. */
    close() {
      isAlive = false;
      isClosed = true;
      loseAll();
      server.closeAllConnections();
      server.close();
    },
  };
}

function listen(server, port, ip) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
}

function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
