import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import runCtl from '../../src/ctl/runCtl';
import RecordingTerminal from '../support/RecordingTerminal';

let folder: string;

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'causes-'));
  const lines = [
    lineOf(0, 'a batch is answered', { request: 'a', kind: 'completed' }),
    lineOf(10, 'a batch is answered', { request: 'b', ...unknown(3) }),
    lineOf(20, 'a batch is answered', { request: 'c', ...unknown(1) }),
    lineOf(30, 'a batch is refused', { request: 'd', reason: 'it would wait too long' }),
    lineOf(2_010, 'a request is refused: there is no configuration yet', { path: '/q/' }),
  ];
  await writeFile(path.join(folder, 'e1.log'), ['no JSON', ...lines].join('\n'));
  const faults = [
    lineOf(0, 'a batch is answered', { request: 'b', ...unknown(3) }),
    lineOf(20, 'an error reached nobody', {
      error: { name: 'ConnectError', message: 'timed out' },
    }),
    lineOf(40, 'the process ends', { reason: 'a planned stop', exitCode: 0 }),
    lineOf(2_040, 'the process ends', { reason: 'errors came again and again', exitCode: 1 }),
  ];
  await writeFile(path.join(folder, 'e2.log'), faults.join('\n'));
  await writeFile(path.join(folder, 'calm.log'), lines[0]!);
});

afterAll(() => rm(folder, { recursive: true }));

function unknown(left: number) {
  return { kind: 'unknown', reason: `its time is over with ${left} tasks not done` };
}

function lineOf(ms: number, message: string, fields: object): string {
  const time = new Date(Date.UTC(2026, 0, 1) + ms).toISOString();
  return JSON.stringify({ ...fields, time, level: 'info', message });
}

async function causes(name: string): Promise<string> {
  const terminal = new RecordingTerminal();
  const code = await runCtl(['causes', path.join(folder, name)], terminal);
  return [code, ...terminal.lines].join('\n');
}

test('counts requests without a result by time and reason', async () => {
  expect(await causes('e1.log')).toMatchInlineSnapshot(`
    "0
    out: from  requests  one of them  reason
    out: 0 s          2  b            unknown: its time is over with N tasks not done
    out: 0 s          1  d            refused: it would wait too long
    out: 2 s          1               a request is refused: there is no configuration yet"
  `);
});

test('lists faults of processes among the reasons', async () => {
  expect(await causes('e2.log')).toMatchInlineSnapshot(`
    "0
    out: from  requests  one of them  reason
    out: 0 s          1  b            unknown: its time is over with N tasks not done
    out: 0 s          0               e2: an error reached nobody: ConnectError: timed out
    out: 2 s          0               e2 ends: errors came again and again"
  `);
});

test('reports that no request in the files went without a result', async () => {
  expect(await causes('calm.log')).toMatchInlineSnapshot(`
    "8
    err: these files contain no request without a result"
  `);
});
