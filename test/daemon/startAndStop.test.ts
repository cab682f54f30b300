import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { expect, onTestFinished, test, vi } from 'vitest';
import runDaemon from '../../src/daemon/runDaemon';
import RecordingTerminal from '../support/RecordingTerminal';

const ANY_PORT = '127.0.0.1:0';

/** Runs an entry whose store is unreachable; resolves with its exit code and its log messages. */
async function runEntry(listen: object, stop: AbortController, isUp: RegExp) {
  const folder = await mkdtemp(path.join(tmpdir(), 'magnoliakeel-test-'));
  onTestFinished(() => rm(folder, { recursive: true }));
  const file = path.join(folder, 'entry.yaml');
  const addresses = { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT, ...listen };
  const settings = { role: 'entry', cluster: 'c', instance: 'e', zone: 'z', listen: addresses };
  await writeFile(file, JSON.stringify({ ...settings, store: { address: '127.0.0.1:1' } }));
  const lines: string[] = [];
  const output = vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    lines.push(JSON.parse(String(text)).message.replaceAll(/\d+\.\d+\.\d+\.\d+:\d+/g, 'ADDRESS'));
    if (isUp.test(lines.at(-1)!)) stop.abort();
    return true;
  });
  const code = await runDaemon(['--config', file], new RecordingTerminal(), stop.signal);
  output.mockRestore();
  return { code, lines };
}

test('a port in use is logged before the end of the process and gives its own exit code', async () => {
  const blocker = createServer().listen(0, '127.0.0.1');
  await once(blocker, 'listening');
  onTestFinished(() => {
    blocker.close();
  });
  const { port } = blocker.address() as AddressInfo;
  const callers = await runEntry(
    { callers: `127.0.0.1:${port}` },
    new AbortController(),
    /^never$/,
  );
  const peers = await runEntry({ peers: `127.0.0.1:${port}` }, new AbortController(), /^never$/);
  const operators = { operators: `127.0.0.1:${port}` };
  const last = await runEntry(operators, new AbortController(), /^never$/);
  expect(last).toEqual(callers);
  expect([callers, peers]).toMatchInlineSnapshot(`
    [
      {
        "code": 4,
        "lines": [
          "cannot listen: ADDRESS: the port is taken by another process",
          "the process ends",
        ],
      },
      {
        "code": 4,
        "lines": [
          "cannot listen: ADDRESS: the port is taken by another process",
          "the process ends",
        ],
      },
    ]
  `);
});

test('an unreachable store is logged once, and the entry runs until it is stopped', async () => {
  expect(await runEntry({}, new AbortController(), /store/)).toMatchInlineSnapshot(`
    {
      "code": 0,
      "lines": [
        "entry e listens for callers on ADDRESS, for peers on ADDRESS",
        "listening for operators on ADDRESS",
        "connections are without TLS: the settings name no certificates",
        "store ADDRESS cannot be reached: connect ECONNREFUSED ADDRESS; going on with what is known",
        "leaving",
        "entry e has stopped",
        "the process ends",
      ],
    }
  `);
});
