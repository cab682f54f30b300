import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { open, rename } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterAll, beforeAll, expect, onTestFinished, test, vi } from 'vitest';
import freePort from '../support/freePort';
import FakeHttpServer from '../support/FakeHttpServer';
import FakeSidecar from '../support/FakeSidecar';

// Guards against processes that end without a log line that says why. Two entries ended on their own at the same
// moment, with all their open requests. Their last log lines, such as "a batch is accepted", did not show why; only
// Node's text on standard error, "Unhandled 'error' event ... PING timed out", showed that a session without
// an error listener had failed, and nothing showed how many requests were lost.

// Building and starting takes seconds on a busy machine.
vi.setConfig({ testTimeout: 60_000, hookTimeout: 60_000 });

let folder: string;

let lastFile = 0;

beforeAll(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'ends-'));
  execFileSync(process.execPath, ['scripts/buildPlatform.mjs', folder]);
});

afterAll(() => rmSync(folder, { recursive: true }));

type InjectedFault = readonly [kind: 'throw' | 'reject', times: number];

interface StartedProcess {
  readonly child: ChildProcess;
  readonly metrics: string;
  /** Log lines written so far. */
  readonly lines: () => readonly Readonly<Record<string, unknown>>[];
  readonly ended: Promise<number | null>;
}

/** Starts a role in which SIGUSR2 causes these uncaught errors. */
function startRole(
  role: string,
  settings: object,
  faults: readonly InjectedFault[],
): Omit<StartedProcess, 'metrics'> {
  lastFile += 1;
  const file = path.join(folder, `${role}-${lastFile}.yaml`);
  writeFileSync(file, JSON.stringify(settings));
  return startWithFile(role, file, faults);
}

/** Starts a role with this settings file. */
function startWithFile(
  role: string,
  file: string,
  faults: readonly InjectedFault[],
): Omit<StartedProcess, 'metrics'> {
  const env = { ...process.env, MAGNOLIAKEEL_NODE_FILE: file, FAULTS: JSON.stringify(faults) };
  const args = ['--import', path.resolve('test/support/faulty.mjs')];
  const child = spawn(process.execPath, [...args, path.join(folder, `${role}.cjs`)], { env });
  let written = '';
  child.stdout.on('data', (chunk: Buffer) => {
    written += chunk.toString();
  });
  onTestFinished(() => {
    child.kill('SIGKILL');
  });
  const lines = () =>
    written
      .split('\n')
      .slice(0, -1)
      .map((line) => JSON.parse(line));
  const ended = new Promise<number | null>((resolve) => {
    child.on('close', resolve);
  });
  return { child, lines, ended };
}

/** Settings of a sidecar; `usedAddress` is an address that is already in use. */
async function sidecarSettings(usedAddress?: string) {
  const [backend, metrics, store] = await Promise.all([freePort(), freePort(), freePort()]);
  return {
    ...{ cluster: 'c', instance: 's1', zone: 'z', seeds: [], peerPort: 7_100 },
    listen: { backend: usedAddress ?? `127.0.0.1:${backend}`, metrics: `127.0.0.1:${metrics}` },
    store: { address: `127.0.0.1:${store}` },
  };
}

/** Starts a sidecar in which SIGUSR2 causes these uncaught errors. */
async function startSidecar(
  faults: readonly InjectedFault[],
  usedAddress?: string,
): Promise<StartedProcess> {
  const settings = await sidecarSettings(usedAddress);
  const started = startRole('sidecar', settings, faults);
  return { ...started, metrics: `http://${settings.listen.metrics}/metrics` };
}

/** Starts a sidecar and then causes these uncaught errors in it. */
async function startFaultySidecar(faults: readonly InjectedFault[]): Promise<StartedProcess> {
  const started = await startSidecar(faults);
  await lineOf(started, 'the sidecar has started');
  started.child.kill('SIGUSR2');
  return started;
}

/** Starts an entry with a queue, and a fake sidecar that accepts its start requests. */
async function startEntry(faults: readonly InjectedFault[]) {
  const route = { name: 'q', host: '127.0.0.1', prefix: '/q/', service: 's' };
  const value = Buffer.from(JSON.stringify({ version: 1, routes: [route] })).toString('base64');
  const store = await FakeHttpServer.open(({ path: requestPath }) => {
    if (requestPath.includes('kv-watch')) return 'silence';
    const items = requestPath.includes('prefix=op')
      ? [{ key: 'op/config', value, revision: 1 }]
      : [];
    return { status: 200, body: { items, at: 1, lease_id: 1, revision: 1 } };
  });
  const ports = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
  const [callers, readiness, peers, metrics] = ports.map((port) => `127.0.0.1:${port}`);
  const settings = {
    ...{ cluster: 'c', instance: 'e1', zone: 'z', seeds: [], stop: { graceSeconds: 5 } },
    ...{ listen: { callers, readiness, peers, metrics }, store: { address: store.address } },
  };
  const entry = { ...startRole('entry', settings, faults), metrics: '' };
  await lineOf(entry, 'a configuration is in force');
  const sidecar = await FakeSidecar.linkTo(peers!);
  onTestFinished(async () => {
    sidecar.close();
    await store.close();
  });
  const body = JSON.stringify({
    ...{ best_effort: true, spec: '50' },
    steps: [{ count: 2, cpu: 1_000, estimate_ms: 50 }],
  });
  const headers = { 'x-deadline-ms': '20000' };
  const url = `http://${callers}/q/5c0e7a21d94b36f8`;
  const submit = () => fetch(url, { method: 'POST', body, headers });
  return { entry, sidecar, submit };
}

/** Waits for the first log line with this message. */
function lineOf({ lines }: StartedProcess, message: string) {
  return vi.waitFor(() => {
    const line = lines().find((each) => JSON.stringify(each).includes(message));
    if (!line) throw new Error(`no "${message}" in ${JSON.stringify(lines())}`);
    return line;
  }, 10_000);
}

test('an uncaught error is logged with its stack, its cause and the counts of open objects', async () => {
  const { error, uptimeMs, ...line } = await lineOf(
    await startFaultySidecar([['throw', 1]]),
    UNCAUGHT_ERROR_MESSAGE,
  );
  const { stack, cause, ...errorFields } = error as Record<string, unknown>;
  expect([line.level, line.origin, line.holds, errorFields]).toMatchInlineSnapshot(`
    [
      "error",
      "uncaughtException",
      {
        "entryLinks": 0,
        "runs": 0,
      },
      {
        "message": "a fault in a timer",
        "name": "Error",
      },
    ]
  `);
  expect([String(stack), JSON.stringify(cause), Number(uptimeMs) > 0]).toEqual([
    expect.stringContaining('faulty.mjs'),
    expect.stringContaining('what was behind it'),
    true,
  ]);
});

test('a process logs why it ends', async () => {
  const stopped = await startSidecar([]);
  await lineOf(stopped, 'the sidecar has started');
  stopped.child.kill('SIGTERM');
  const blocker = createServer().listen(0, '127.0.0.1');
  onTestFinished(() => {
    blocker.close();
  });
  await new Promise((resolve) => {
    blocker.once('listening', resolve);
  });
  const { port } = blocker.address() as { port: number };
  const refused = await startSidecar([], `127.0.0.1:${port}`);
  const ends = [stopped, refused].map(async (started) => {
    const code = await started.ended;
    const { reason, exitCode } = started.lines().at(-1)!;
    return { code, reason, exitCode };
  });
  expect(await Promise.all(ends)).toMatchInlineSnapshot(`
    [
      {
        "code": 0,
        "exitCode": 0,
        "reason": "a planned stop",
      },
      {
        "code": 1,
        "exitCode": 1,
        "reason": "the process could not start",
      },
    ]
  `);
});

test('a process keeps serving after an uncaught error in a timer and one in a promise', async () => {
  const started = await startFaultySidecar([
    ['throw', 1],
    ['reject', 1],
  ]);
  await lineOf(started, 'a fault in a promise');
  const res = await fetch(started.metrics);
  const text = await res.text();
  expect(text.split('\n').filter((line) => line.startsWith('magnoliakeel_faults')))
    .toMatchInlineSnapshot(`
      [
        "magnoliakeel_faults_total{origin="uncaughtException"} 1",
        "magnoliakeel_faults_total{origin="unhandledRejection"} 1",
      ]
    `);
  expect(started.child.exitCode).toBe(null);
});

test('an entry with repeated uncaught errors shuts down gracefully and answers its open batches', async () => {
  const { entry, sidecar, submit } = await startEntry([['throw', 160]]);
  const answer = submit();
  await lineOf(entry, 'starts are ordered');
  entry.child.kill('SIGUSR2');
  await lineOf(entry, 'leaving: open batches are finished');
  sidecar.finish();
  const res = await answer;
  const code = await entry.ended;
  const { reason, exitCode } = entry.lines().at(-1)!;
  const heldUp = entry.lines().filter(({ message }) => String(message).includes('held up'));
  expect({ status: res.status, text: await res.text(), code, reason, exitCode, heldUp })
    .toMatchInlineSnapshot(`
      {
        "code": 1,
        "exitCode": 1,
        "heldUp": [],
        "reason": "errors came again and again",
        "status": 200,
        "text": "{"state":"completed"}",
      }
    `);
});

// A sidecar that got SIGHUP 237 ms after its start was ended by the signal: there was no listener for it until
// the settings had been read for the first time. The settings come through a pipe here, so that the process
// blocks while it reads them.
test('a process that gets SIGHUP while it starts reloads its settings once it has started', async () => {
  const settings = JSON.stringify(await sidecarSettings());
  const [pipe, changed] = ['settings.pipe', 'settings.yaml'].map((name) => path.join(folder, name));
  writeFileSync(changed!, settings);
  execFileSync('mkfifo', [pipe!]);
  const started = startWithFile('sidecar', pipe!, []);
  const pipeWriter = await open(pipe!, 'w');
  started.child.kill('SIGHUP');
  await pipeWriter.writeFile(settings);
  // The next read opens the file under the same name; the current one still reads from the pipe.
  await rename(changed!, pipe!);
  await pipeWriter.close();
  await lineOf({ ...started, metrics: '' }, 'the settings were read again');
  expect(started.child.exitCode).toBe(null);
});

// A process may get SIGTERM several times: an entry that was shutting down got a second one, for which there was
// no listener any more, and was ended by it with batches still open.
test('an entry that gets SIGTERM twice answers its open batches', async () => {
  const { entry, sidecar, submit } = await startEntry([]);
  const answer = submit();
  await lineOf(entry, 'starts are ordered');
  entry.child.kill('SIGTERM');
  await lineOf(entry, 'leaving: open batches are finished');
  entry.child.kill('SIGTERM');
  sidecar.finish();
  const { status } = await answer;
  expect({ status, code: await entry.ended, last: entry.lines().at(-1)!.reason }).toEqual({
    status: 200,
    code: 0,
    last: 'a planned stop',
  });
});

const UNCAUGHT_ERROR_MESSAGE = 'an error reached nobody';
