/* global process */
// These rules are off for the TypeScript files of the project, or forbid its usual forms.
/* eslint-disable no-await-in-loop */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import Record from './Record.mjs';
import Runner from './Runner.mjs';
import Store from './Store.mjs';
import { call } from './http.mjs';
import sleep from './sleep.mjs';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

const PORT = 18_161;
const PEER_PORT = 17_720;

/** A deployment of entries and sidecars as separate processes, with stand-ins of the store and of the runners. */
export default class Deployment {
  processes = new Map();

  runners = [];

  #files = mkdtempSync(path.join(tmpdir(), 'case-'));

  constructor(folder) {
    this.record = new Record(path.join(folder, 'record.txt'));
    this.store = new Store();
    const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
    this.commands = Object.fromEntries(
      ['entry', 'sidecar'].map((role) => {
        const section = deploy.split(`[roles.${role}]`)[1].split('\n[')[0];
        const valueOf = (name) => new RegExp(`^${name} = "(.*)"`, 'm').exec(section)[1];
        return [role, { run: valueOf('run').split(' '), template: valueOf('template') }];
      }),
    );
  }

  /** Has the operator write a configuration with a route `/NAME/` for each name. */
  configure(version, names = ['q']) {
    const routes = names.map((name) => ({
      ...{ name, host: 'case.example', prefix: `/${name}/`, service: 'work', timeout_ms: 60_000 },
      ...{ priority: 0, max_attempts: 3, stretch_factor: 1.6, target_latency_ms: 60_000 },
    }));
    this.store.put('op/config', JSON.stringify({ version, routes, services: [], limits: {} }));
    this.record.add(`operator: configuration ${version} is acknowledged, routes: ${names}`);
  }

  /** Starts everything, and resolves once the processes are in touch. */
  async start({ entries, runners, capacity }) {
    await this.#reserveNetwork();
    await this.store.listen(`${this.network}.5.1`, PORT);
    this.configure(1);
    this.seeds = Array.from(
      { length: entries },
      (_, index) => `${this.network}.2.${index + 1}:${PORT + 5}`,
    );
    for (let number = 1; number <= entries; number += 1) this.startEntry(number);
    for (let number = 1; number <= runners; number += 1) {
      this.startSidecar(number);
      await this.#addRunner(number, capacity);
    }
    await this.#waitUntilReady(entries, runners);
  }

  callersOf(number) {
    return `${this.network}.2.${number}:${PORT}`;
  }

  startEntry(number) {
    const ip = `${this.network}.2.${number}`;
    const listen = { frontend: `${ip}:${PORT}`, ready: `${ip}:${PORT + 1}` };
    this.#startProcess(`entry-${number}`, 'entry', ip, listen);
  }

  startSidecar(number) {
    const ip = `${this.network}.3.${number}`;
    this.#startProcess(`sidecar-${number}`, 'sidecar', ip, { control: `${ip}:${PORT}` });
  }

  /** Sends a signal to a process that this deployment has started. */
  signal(name, signal) {
    this.record.add(`${name} gets ${signal}`);
    this.processes.get(name).child.kill(signal);
  }

  /** The lines that a process has written so far. */
  outputOf(name) {
    return this.processes.get(name).lines;
  }

  /** Resolves once an entry reports itself ready, from when on the platform sends it connections. */
  async waitForReadiness(entry) {
    const until = Date.now() + 10_000;
    while (!(await this.#isReady(entry))) {
      if (Date.now() > until) throw new Error(`entry-${entry} does not become ready`);
      await sleep(10);
    }
    this.record.add(`entry-${entry} is ready`);
  }

  async #isReady(entry) {
    const address = `${this.network}.2.${entry}:${PORT + 1}`;
    const answer = await call(address, 'GET', '/magnoliakeel/readyz', { timeoutMs: 1_000 });
    return answer.status === 200;
  }

  /** Hands a job in and waits for the answer; its steps run one after the other. */
  async submit(entry, id, { tasks, workMs, steps = 1, cpu = 1_000, waitMs = 30_000 }) {
    this.record.add(`client: POST ${id} to entry-${entry}`);
    const body = {
      spec: String(workMs),
      best_effort: true,
      steps: Array.from({ length: steps }, (_, number) => ({
        ...{ count: tasks, cpu, mem_mb: 64, estimate_ms: workMs },
        ...(number > 0 && { after: [number - 1] }),
      })),
    };
    return this.#ask(entry, 'POST', id, { body, timeoutMs: waitMs });
  }

  cancel(entry, id) {
    this.record.add(`client: DELETE ${id} at entry-${entry}`);
    return this.#ask(entry, 'DELETE', id, { timeoutMs: 5_000 });
  }

  async #ask(entry, method, id, { body, timeoutMs }) {
    const headers = { host: 'case.example', 'x-deadline-ms': String(timeoutMs) };
    const options = { body, headers, timeoutMs };
    const answer = await call(this.callersOf(entry), method, `/q/${id}`, options);
    const text = answer.failure ?? `${answer.status} ${JSON.stringify(answer.body)}`;
    this.record.add(`client: ${method} ${id} at entry-${entry} is answered: ${text}`);
    return answer;
  }

  /** Resolves once every entry is ready and each runner accepts tasks; throws after a time limit. */
  async #waitUntilReady(entries, runners) {
    const until = Date.now() + 20_000;
    const accepts = (number) =>
      this.outputOf(`sidecar-${number}`).some((line) => line.includes('accepts tasks'));
    for (;;) {
      const states = await Promise.all(
        Array.from({ length: entries }, (_, index) => this.#isReady(index + 1)),
      );
      const open = Array.from({ length: runners }, (_, index) => accepts(index + 1));
      if ([...states, ...open].every(Boolean)) break;
      if (Date.now() > until) throw new Error('the deployment does not become ready');
      await sleep(100);
    }
    // In touch: nothing disturbed for `contact_ms`.
    await sleep(3_500);
    this.record.add('the deployment is ready');
  }

  async stop() {
    this.runners.forEach((runner) => runner.close());
    const running = [...this.processes.values()].filter(({ hasEnded }) => !hasEnded);
    running.forEach(({ child }) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    await Promise.all(running.map(({ ended }) => ended));
    this.store.close();
    this.lock?.close();
    rmSync(this.#files, { recursive: true, force: true });
  }

  async #addRunner(number, capacity) {
    const runner = new Runner({
      ...{ id: `i-${number}`, address: `${this.network}.4.${number}:${PORT}`, capacity },
      ...{ control: `${this.network}.3.${number}:${PORT}`, record: this.record },
    });
    this.runners.push(runner);
    await runner.listen();
  }

  #startProcess(name, role, ip, listen) {
    const { run, template } = this.commands[role];
    const fields = {
      ...{ node_name: name, zone: 'z1', ip, listen, port_range: [PEER_PORT, PEER_PORT + 15] },
      ...{ seeds: this.seeds, platform: { addr: this.store.address } },
      bounds: { grace_s: 6, remote_factor: 1.5 },
    };
    const file = path.join(this.#files, `${name}.yaml`);
    writeFileSync(file, fill(readFileSync(path.join(ROOT, template), 'utf8'), fields));
    const { PATH, HOME } = process.env;
    const [program, ...args] = run;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, MAGNOLIAKEEL_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const state = { child, lines: [], hasEnded: false, ended: undefined };
    state.ended = once(child, 'exit').then(([code, signal]) => {
      state.hasEnded = true;
      this.record.add(`${name} has ended with ${signal ?? code}`);
    });
    const keep = (chunk) => state.lines.push(...String(chunk).split('\n').filter(Boolean));
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    this.processes.set(name, state);
    this.record.add(`${name} is started`);
  }

  /** Takes the first loopback network 127.N that no other script uses. */
  async #reserveNetwork() {
    for (let number = 60; number < 250; number += 1) {
      const lock = createServer();
      const isFree = await new Promise((resolve) => {
        lock.once('error', () => resolve(false));
        lock.listen(PORT, `127.${number}.0.1`, () => resolve(true));
      });
      if (isFree) {
        this.lock = lock;
        this.network = `127.${number}`;
        return;
      }
    }
    throw new Error('no loopback network is free');
  }
}

/** Fills in a settings template: the placeholders and sections that the project's templates use. */
function fill(template, fields) {
  const valueOf = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) => {
      const value = valueOf(name);
      return value === undefined ? '' : inner.replaceAll('{{.|json}}', JSON.stringify(value));
    })
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(valueOf(name)))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(valueOf(name)));
}
