// Starts a small deployment: the roles of the deploy file as separate processes on loopback addresses, with stand-ins
// for the store and the runners.
/* eslint-disable no-await-in-loop -- the processes are started, and waited for, one after the other */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { pathToFileURL } from 'node:url';
import request from './client.mjs';
import startProxy from './proxy.mjs';
import startRunner from './runner.mjs';
import startStore from './store.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');
const PORTS = { frontend: 18_161, ready: 18_167, control: 18_166, app: 18_080, store: 18_169 };
const PORT_RANGE = [17_720, 17_735];

/** Last part of the address of a seed that is gone. */
const STALE_NUMBER = 99;

export const SERVICE = 'desk';
export const HOST = 'desk.example';
export const PREFIX = '/desk/';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** The value of a dotted name in a record. */
function lookUp(scope, name) {
  return name.split('.').reduce((value, key) => value?.[key], scope);
}

/** Fills in a settings template as the deployment page describes; sections as far as the templates use them. */
function render(template, fields) {
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_all, name, inner) => {
      const value = lookUp(fields, name);
      return value === undefined ? '' : inner.replace(/\{\{\.\|json\}\}/g, JSON.stringify(value));
    })
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_all, name) =>
      JSON.stringify(lookUp(fields, name) ?? null),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_all, name) => String(lookUp(fields, name) ?? ''));
}

/**
 * Listens at an address where nobody answers, as that of a machine that is gone. `dialledBy` holds when each process
 * last tried it, by the name in its first message.
 */
async function startSilent(ip, port) {
  const sockets = new Set();
  const dialledBy = new Map();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      const [name] = /(front|side)-\d+/.exec(chunk.toString('latin1')) ?? [];
      if (name) dialledBy.set(name, Date.now());
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return {
    dialledBy,
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/** Reads the command and the template of a role from the deploy file. */
function readRole(role) {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  const value = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(section)[1];
  return { command: value('run').split(' '), template: value('template') };
}

/** Finds a loopback network "127.N" whose addresses nobody uses here. */
async function findNetwork() {
  for (let number = 40 + Math.floor(Math.random() * 100); number < 250; number += 1) {
    const lock = net.createServer();
    const isFree = await new Promise((resolve) => {
      lock.once('error', () => resolve(false));
      lock.listen(PORTS.store, `127.${number}.0.1`, () => resolve(true));
    });
    if (isFree) return { network: `127.${number}`, lock };
  }
  throw new Error('no free loopback network');
}

/**
 * Starts `entries` and `sidecars`, each sidecar with a runner; resolves once the entries are ready. With `cuttable`,
 * proxies stand at the entries' peer addresses; the project's own `tools/soak/divert.mjs` makes each entry listen
 * behind its proxy and each process dial from its own address.
 */
export async function startDeployment(opts) {
  const { entries = 3, sidecars = 3, capacity, note, logTo, cuttable = false, runner = {} } = opts;
  const { staleSeed = false } = opts;
  const { network, lock } = await findNetwork();
  const folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const log = logTo ? createWriteStream(logTo) : undefined;
  const processes = new Map();
  const specs = new Map();
  const runners = new Map();
  const proxies = new Map();
  const store = await startStore(`${network}.5.1`, PORTS.store);
  const seedNumbers = staleSeed ? [1, 2, STALE_NUMBER] : [1, 2, 3].slice(0, entries);
  const stale = staleSeed
    ? await startSilent(`${network}.1.${STALE_NUMBER}`, PORT_RANGE[0])
    : undefined;
  const zones = ['z1', 'z2', 'z3'];
  const bounds = { remote_factor: 1.5, grace_s: 6, hold_max_ms: 1_000 };
  let version = 0;
  let isClosing = false;

  const configure = (routes = [{ name: 'desk', prefix: PREFIX }]) => {
    version += 1;
    store.write('op/config', {
      version,
      routes: routes.map((route) => ({
        host: HOST,
        service: SERVICE,
        timeout_ms: 20_000,
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        target_latency_ms: 60,
        ...route,
      })),
      services: [{ name: SERVICE, enforces_capacity: false }],
      limits: { max_body_bytes: 262_144, idle_timeout_ms: 15_000 },
    });
    return version;
  };

  const launch = (name) => {
    if (isClosing) return;
    const { command, settings, ip } = specs.get(name);
    const [program, ...args] = command;
    const diverted = cuttable && {
      NODE_OPTIONS: `--import ${pathToFileURL(path.join(ROOT, 'tools/soak/divert.mjs')).href}`,
      SOAK_TOLD: `${network}.1.`,
      SOAK_REAL: `${network}.2.`,
      SOAK_SELF: ip,
    };
    const own = { PATH: process.env.PATH, HOME: folder, LANG: 'C' };
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { ...own, ...diverted, MAGNOLIAKEEL_NODE_FILE: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    processes.set(name, child);
    note({ event: 'process', name, what: 'started' });
    [child.stdout, child.stderr].forEach((stream) => {
      stream.on('data', (chunk) =>
        log?.write(`${name} ${String(chunk).replace(/\n(?=.)/g, `\n${name} `)}`),
      );
    });
    child.once('exit', (code, signal) => {
      if (processes.get(name) === child) processes.delete(name);
      note({ event: 'process', name, what: 'ended', how: signal ?? code });
    });
  };

  const add = (role, name, ip, zone, advertisedIp = ip) => {
    const { command, template } = readRole(role);
    const fields = {
      node_name: name,
      ip: advertisedIp,
      zone,
      listen: {
        frontend: `${ip}:${PORTS.frontend}`,
        ready: `${ip}:${PORTS.ready}`,
        control: `${ip}:${PORTS.control}`,
      },
      port_range: PORT_RANGE,
      seeds: seedNumbers.map((number) => `${network}.1.${number}:${PORTS.control}`),
      platform: { addr: `${network}.5.1:${PORTS.store}` },
      bounds,
    };
    const settings = path.join(folder, `${name}.json`);
    const text = readFileSync(path.join(ROOT, template), 'utf8');
    writeFileSync(settings, render(text, fields));
    specs.set(name, { command, settings, ip });
    launch(name);
  };

  const startRunnerOf = async (number, options = {}) => {
    const started = await startRunner({
      ip: `${network}.3.${number}`,
      port: PORTS.app,
      control: `${network}.3.${number}:${PORTS.control}`,
      service: SERVICE,
      zone: zones[(number - 1) % zones.length],
      note,
      capacity: capacity ?? { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
      labels: ['a', `r${number}`],
      ...runner,
      ...options,
    });
    runners.set(`side-${number}`, started);
    return started;
  };

  configure();
  for (let number = 1; number <= entries; number += 1) {
    const name = `front-${number}`;
    const advertised = `${network}.1.${number}`;
    const ip = cuttable ? `${network}.2.${number}` : advertised;
    if (cuttable) proxies.set(name, await startProxy(advertised, PORT_RANGE[0], ip));
    add('entry', name, ip, zones[(number - 1) % zones.length], advertised);
  }
  for (let number = 1; number <= sidecars; number += 1) {
    add('sidecar', `side-${number}`, `${network}.3.${number}`, zones[(number - 1) % zones.length]);
    await startRunnerOf(number);
  }

  const isReady = async (name) => {
    const host = specs.get(name).ip;
    const call = {
      host,
      port: PORTS.ready,
      method: 'GET',
      path: '/magnoliakeel/readyz',
      virtualHost: host,
    };
    return (await request(call).response).status === 200;
  };
  const deployment = {
    store,
    runners,
    configure,
    launch,
    startRunnerOf,
    network,
    isReady,
    ipOf: (name) => specs.get(name).ip,
    /** Resolves when a process has just begun to dial the seed that is gone. */
    async waitForStaleDial(name, limitMs = 10_000) {
      const since = Date.now();
      while ((stale.dialledBy.get(name) ?? 0) < since) {
        if (Date.now() - since > limitMs) throw new Error(`${name} does not dial the stale seed`);
        await sleep(5);
      }
    },
    /** Cuts two processes off from each other, of which at least one is an entry; the function returned heals it. */
    cut(one, other) {
      const sides = [
        [one, other],
        [other, one],
      ].filter(([dialled]) => proxies.has(dialled));
      sides.forEach(([dialled, dialler]) => proxies.get(dialled).cut(specs.get(dialler).ip));
      return () =>
        sides.forEach(([dialled, dialler]) => proxies.get(dialled).heal(specs.get(dialler).ip));
    },
    frontendPort: PORTS.frontend,
    /** Makes a client's request to an entry, and records it; resolves to the response. */
    async request(name, call) {
      const { method, path: to } = call;
      note({ event: 'sent', to: name, method, path: to, body: call.body });
      const host = specs.get(name).ip;
      const answer = await request({ host, port: PORTS.frontend, ...call }).response;
      note({ event: 'answered', by: name, method, path: to, ...answer });
      return answer;
    },
    names: () => [...specs.keys()],
    isRunning: (name) => processes.has(name),
    signal(name, signal) {
      note({ event: 'signal', name, signal });
      processes.get(name)?.kill(signal);
    },
    async waitUntilReady(names, limitMs = 15_000) {
      const until = Date.now() + limitMs;
      for (;;) {
        const ready = await Promise.all(names.map(isReady));
        if (ready.every(Boolean)) return;
        if (Date.now() > until)
          throw new Error(`not ready: ${names.filter((_n, at) => !ready[at])}`);
        await sleep(50);
      }
    },
    async waitForEnd(name, limitMs = 10_000) {
      const until = Date.now() + limitMs;
      while (processes.has(name) && Date.now() < until) await sleep(5);
      return !processes.has(name);
    },
    async close() {
      isClosing = true;
      runners.forEach((each) => each.close());
      processes.forEach((child) => {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      });
      const until = Date.now() + 3_000;
      while (processes.size > 0 && Date.now() < until) await sleep(10);
      proxies.forEach((proxy) => proxy.close());
      stale?.close();
      store.close();
      lock.close();
      log?.end();
      rmSync(folder, { recursive: true, force: true });
    },
  };
  await deployment.waitUntilReady([...specs.keys()].filter((name) => name.startsWith('front')));
  return deployment;
}
