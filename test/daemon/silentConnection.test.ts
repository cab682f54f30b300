import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { build } from 'esbuild';
import { beforeAll, expect, onTestFinished, test, vi } from 'vitest';
import SystemTimer from '../../src/core/SystemTimer';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import PlatformServer from '../../tools/platform/PlatformServer';
import freePort from '../support/freePort';
import TcpProxy from '../../tools/harness/TcpProxy';

// A ping times out after 15 s, and processes start slowly on a busy machine.
vi.setConfig({ testTimeout: 60_000, hookTimeout: 60_000 });

const ANY_PORT = '127.0.0.1:0';
const WAIT_OPTIONS = { timeout: 30_000, interval: 20 };
/** About half of the requests are owned by the other entry, and more than four of those fill the kernel's buffers. */
const REQUESTS = 30;
const INPUT_BYTES = 1024 * 1024;
/** Time after which an entry that the fault ends has certainly ended, ms. */
const EXIT_WAIT_MS = 1000;

const timer = SystemTimer.create();
const booking = { name: 'booking', maxTaskBytes: 2 * INPUT_BYTES, timeoutMs: 60_000 };
const manifest = { services: [booking], system: { defaultTeam: 'default' } };

let folder: string;

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'silent-'));
  const outfile = path.join(folder, 'daemon.mjs');
  const entryPoints = ['src/daemon/magnoliakeeld.ts'];
  const js = 'import { createRequire } from "node:module"; const require = createRequire("/");';
  await build({
    entryPoints,
    outfile,
    bundle: true,
    format: 'esm',
    platform: 'node',
    banner: { js },
  });
  return () => rm(folder, { recursive: true });
});

async function startStore(): Promise<string> {
  const server = PlatformServer.of(SimulatedStoreEngine.create(timer));
  onTestFinished(() => server.close());
  const address = await server.listen('127.0.0.1', 0);
  const value = JSON.stringify({ version: 1, applyId: 'first', manifest });
  const body = JSON.stringify({ value, expectRevision: 0 });
  await fetch(`http://${address}/v1/keys/manifest`, { method: 'PUT', body });
  return address;
}

/** Starts an entry as a separate process. */
async function startEntry(instance: string, settings: object) {
  const file = path.join(folder, `${instance}.yaml`);
  const all = { role: 'entry', cluster: 'c', instance, zone: 'z', ...settings };
  await writeFile(file, JSON.stringify(all));
  const child = spawn(process.execPath, [path.join(folder, 'daemon.mjs'), '--config', file]);
  onTestFinished(() => {
    child.kill('SIGKILL');
  });
  let printed = '';
  const print = (chunk: Buffer) => {
    printed += chunk.toString();
  };
  [child.stdout, child.stderr].forEach((stream) => stream.on('data', print));
  const ended = new Promise<string>((resolve) => {
    child.once('close', () => resolve(printed));
  });
  const find = (line: RegExp) => vi.waitUntil(() => line.exec(printed)?.[1], WAIT_OPTIONS);
  return { ended, find };
}

type Entry = Awaited<ReturnType<typeof startEntry>>;

/** The answer of an entry to a health check, or its whole output if the process ends. */
async function healthOf({ ended, find }: Entry): Promise<string> {
  const operators = await find(/for operators on ([\d.:]+)/);
  const answer = timer.sleep(EXIT_WAIT_MS).then(async () => {
    const res = await fetch(`http://${operators}/healthz`);
    return res.text();
  });
  answer.catch(() => undefined);
  return Promise.race([ended, answer]);
}

function submit(callers: string, number: number, input: string): void {
  const time = Date.now().toString(16).padStart(12, '0');
  const key = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number.toString().padStart(12, '0')}`;
  const headers = { 'idempotency-key': key, 'magnoliakeel-deadline-ms': '60000' };
  const url = `http://${callers}/v1/services/booking/requests`;
  // Without backend servers the request waits until the entry ends.
  fetch(url, { method: 'POST', headers, body: JSON.stringify(input) }).catch(() => undefined);
}

// Two of three entries ended 1 ms apart, with all requests that they held, by an uncaught error: "Unhandled
// 'error' event", "ConnectError: [unavailable] PING timed out". Each had a connection to the third entry that
// became unresponsive with data queued, had opened a new one, and then received a reset of the old one.
test('an entry survives the reset of a connection that was unresponsive', async () => {
  const store = { address: await startStore() };
  const peers = `127.0.0.1:${await freePort()}`;
  const proxy = await TcpProxy.to(peers);
  onTestFinished(() => proxy.close());
  const listen = { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT };
  const advertise = proxy.address;
  // No other entry has owned requests before, so the entry need not ask one while the connection is unresponsive.
  const entry = await startEntry('b', { listen, store });
  const callers = await entry.find(/callers on ([\d.:]+)/);
  await entry.find(/(view 1: b)/);
  const owner = await startEntry('a', { listen: { ...listen, peers }, advertise, store });
  await entry.find(/(view 2: b, a)/);
  const numbers = Array.from({ length: REQUESTS }, (_, number) => number);

  numbers.forEach((number) => submit(callers, number, ''));
  await vi.waitUntil(() => proxy.connectionCount === 1, WAIT_OPTIONS);
  await timer.sleep(EXIT_WAIT_MS);
  proxy.freeze();
  numbers.forEach((number) => submit(callers, REQUESTS + number, 'x'.repeat(INPUT_BYTES)));
  await vi.waitUntil(() => proxy.connectionCount === 2, WAIT_OPTIONS);
  proxy.reset();
  expect(await Promise.all([owner, entry].map(healthOf))).toEqual(['ok\n', 'ok\n']);
});
