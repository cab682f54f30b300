// Starts a small deployment on loopback addresses: the project's programs by the commands of the deploy file, with
// settings filled in from its templates, beside stand-ins of the store, the operator and the runners.
/* eslint-disable no-await-in-loop -- one step after the other, as in the project's own code */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { HOST } from './Client.mjs';
import Runner from './Runner.mjs';
import Store from './Store.mjs';

const PORTS = { frontend: 8161, control: 8166, ready: 8167, store: 8169, app: 8080, peers: 7720 };

/** Bounds of the users' small deployments, as in the sheet of sablah-swap; those of a time in ms. */
export const BOUNDS = {
  grace_s: 6,
  remote_factor: 1.5,
  contact_ms: 3_000,
  config_apply_ms: 2_000,
  cancel_ms: 3_000,
  ack_ms: 4_000,
};

const SERVICE = 'exchange-api';

/** A run takes at most 120 s. */
const MAX_RUN_MS = 110_000;

/** Delay before a process that has ended is started again, ms. */
const RESTART_MS = 300;

const root = path.resolve(import.meta.dirname, '../..');

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Resolves when `condition` holds; throws after the limit, ms. */
export async function until(what, condition, limitMs = 20_000) {
  const end = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`not reached in time: ${what}`);
    await sleep(50);
  }
}

export class Deployment {
  /** The record is written into the folder `dirname`; `storeVia` may put a proxy between the processes and the store. */
  constructor({ entries, sidecars, dirname, storeVia, tellsBorn }) {
    const file = path.join(dirname, 'record.txt');
    Object.assign(this, { entryCount: entries, sidecarCount: sidecars, file, storeVia, tellsBorn });
    this.startedAt = performance.now();
    this.processes = new Map();
    this.runners = [];
    this.events = [];
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    writeFileSync(file, '');
    // Whatever ends this process ends those that it has started.
    process.once('exit', () => this.killAll());
    ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) =>
      process.once(signal, () => process.exit(2)),
    );
  }

  /** Time since the start of the deployment, ms. */
  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  /** Adds a line to the record. */
  record(who, what, fields = {}) {
    this.events.push({ at: this.now, who, what, ...fields });
    appendFileSync(this.file, `${this.now} ${who} ${what} ${JSON.stringify(fields)}\n`);
  }

  async start() {
    this.net = await reserveNetwork();
    const { net } = this;
    this.store = new Store();
    this.storeAddress = await this.store.listen(`${net}.4.1`, PORTS.store);
    if (this.storeVia) this.storeAddress = await this.storeVia(this.storeAddress, `${net}.5.1`);
    this.seeds = Array.from({ length: Math.min(3, this.entryCount) }, (_, at) =>
      this.ip('entry', at),
    );
    for (let at = 0; at < this.entryCount; at += 1) this.launch('entry', at);
    for (let at = 0; at < this.sidecarCount; at += 1) this.launch('sidecar', at);
    await Promise.all(
      Array.from({ length: this.sidecarCount }, async (_, at) => {
        const ip = this.ip('sidecar', at);
        const runner = new Runner({
          id: `i-${at + 1}`,
          service: SERVICE,
          ip,
          port: PORTS.app,
          control: `${ip}:${PORTS.control}`,
          zone: zoneOf(at),
          tellsBorn: this.tellsBorn,
          record: (...event) => this.record(...event),
        });
        this.runners.push(runner);
        await runner.start();
      }),
    );
  }

  ip(role, at) {
    return `${this.net}.${role === 'entry' ? 1 : 2}.${at + 1}`;
  }

  /** Address at which an entry takes clients, "ip:port". */
  frontend(at) {
    return `${this.ip('entry', at)}:${PORTS.frontend}`;
  }

  /** Starts a process; it is started again when it has ended. */
  launch(role, at) {
    const name = `${role}-${at + 1}`;
    const { run, template } = roleOf(role);
    const settings = path.join(this.folder, `${name}.yaml`);
    const ip = this.ip(role, at);
    const fields = {
      node_name: name,
      zone: zoneOf(at),
      ip,
      listen: Object.fromEntries(
        Object.entries(PORTS).map(([port, number]) => [port, `${ip}:${number}`]),
      ),
      seeds: this.seeds.map((seed) => `${seed}:${PORTS.control}`),
      port_range: [PORTS.peers, PORTS.peers + 15],
      platform: { addr: this.storeAddress },
      bounds: BOUNDS,
    };
    writeFileSync(settings, fill(template, fields));
    const [program, ...args] = run.split(' ');
    const child = spawn(program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        MAGNOLIAKEEL_NODE_FILE: settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.processes.set(name, child);
    this.record(name, 'process started', { pid: child.pid });
    const log = path.join(this.folder, `${name}.log`);
    [child.stdout, child.stderr].forEach((out) =>
      out.on('data', (text) => {
        if (!this.isClosed) appendFileSync(log, text);
      }),
    );
    child.on('exit', (code, signal) => {
      if (this.isClosing) return;
      this.record(name, 'process ended', { code, signal });
      setTimeout(() => {
        if (!this.isClosing) this.launch(role, at);
      }, RESTART_MS);
    });
  }

  /** Writes a configuration with these routes; returns when the store has acknowledged it. */
  configure(version, routes) {
    this.store.operatorPut('op/config', configuration(version, routes));
    this.record('operator', 'configuration acknowledged', { version, routes });
    return this.now;
  }

  /** Sends a signal to a process that this deployment has started. */
  signal(name, signal) {
    this.record(name, 'signal', { signal });
    this.processes.get(name).kill(signal);
  }

  /** Whether no process has been started, signalled or has ended within `contact_ms` before a time. */
  areInTouch(at) {
    return this.events
      .filter(({ what }) => ['process started', 'process ended', 'signal'].includes(what))
      .every((event) => event.at > at || event.at < at - BOUNDS.contact_ms);
  }

  /** The runs of a job that were started, each with its time. */
  startsOf(id) {
    return this.events.filter(({ what, task }) => what === 'started' && task.startsWith(`${id}.`));
  }

  async close() {
    this.isClosing = true;
    const ends = this.running.map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
        }),
    );
    this.killAll();
    await Promise.all(ends);
    this.isClosed = true;
    this.runners.forEach((runner) => runner.close());
    this.store?.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  get running() {
    const children = [...this.processes.values()];
    return children.filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null);
  }

  killAll() {
    this.isClosing = true;
    this.running.forEach((child) => child.kill('SIGKILL'));
  }
}

/**
 * Runs a case and ends the process: with 1 if `play` resolves to a list of breaches that is not empty, with 0 if it is
 * empty, and with 2 if the case could not run. `play` gets whether the disruption is to happen.
 */
export async function runCase(options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  setTimeout(() => process.exit(2), MAX_RUN_MS).unref();
  const deployment = new Deployment(options);
  let code = 2;
  try {
    await deployment.start();
    const breaches = await play(deployment, hasTrouble);
    breaches.forEach((breach) => deployment.record('rule', 'broken', breach));
    deployment.record('rule', breaches.length > 0 ? 'was broken' : 'held', { hasTrouble });
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    deployment.record('case', 'could not run', { error: String(error) });
  }
  await deployment.close();
  process.exit(code);
}

/** A configuration as the operator writes it. */
function configuration(version, routes) {
  return {
    version,
    routes: routes.map((name) => ({
      name,
      host: HOST,
      prefix: `/${name}/`,
      service: SERVICE,
      timeout_ms: 60_000,
      priority: 0,
      max_attempts: 3,
      stretch_factor: 1.6,
      target_latency_ms: 60,
    })),
    services: [{ name: SERVICE, enforces_capacity: false }],
    limits: {},
  };
}

function zoneOf(at) {
  return ['hall-qurum', 'hall-seeb', 'hall-ruwi'][at % 3];
}

/** The command and the template of a role of the deploy file. */
function roleOf(role) {
  const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('[roles.')[0];
  const field = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1];
  return {
    run: field('run'),
    template: readFileSync(path.join(root, field('template')), 'utf8'),
  };
}

/** Fills in the placeholders that the project's templates use. */
function fill(template, fields) {
  const find = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replaceAll(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) =>
      inner.replaceAll('{{.|json}}', JSON.stringify(find(name))),
    )
    .replaceAll(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(find(name)))
    .replaceAll(/\{\{([\w.]+)\}\}/g, (_, name) => String(find(name)));
}

/** Reserves a loopback network "127.N" that no other run uses, for the life of this process. */
async function reserveNetwork() {
  for (let number = 40; number < 250; number += 1) {
    const isFree = await new Promise((resolve) => {
      const lock = createServer();
      lock.once('error', () => resolve(false));
      lock.listen(8160, `127.${number}.0.1`, () => resolve(true));
      lock.unref();
    });
    if (isFree) return `127.${number}`;
  }
  throw new Error('no loopback network is free');
}
