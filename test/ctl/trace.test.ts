import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import runCtl from '../../src/ctl/runCtl';
import RecordingTerminal from '../support/RecordingTerminal';

let folder: string;

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'trace-'));
  const entrySpans = [span('0123aa', '1', '', 0, 9), span('0123bb', '4', '', 5, 1)];
  await writeFile(path.join(folder, 'e1'), `{"level":"info"}\n${lineOf('e1', entrySpans)}\n`);
  const sidecarSpans = [span('0123aa', '3', '2', 4, 2), span('0123aa', '2', '1', 1, 7)];
  await writeFile(path.join(folder, 's1'), lineOf('s1', sidecarSpans));
});

afterAll(() => rm(folder, { recursive: true }));

async function run(...options: string[]): Promise<string> {
  const terminal = new RecordingTerminal();
  const files = ['e1', 's1'].map((name) => path.join(folder, name));
  const code = await runCtl(['trace', ...files, ...options], terminal);
  return [code, ...terminal.lines].join('\n');
}

test('assembles one trace from several files', async () => {
  expect(await run('--id', '0123a')).toMatchInlineSnapshot(`
    "0
    out: trace 0123aa: 3 spans of 2 processes, 9.0 ms
    hop1 @e1  at 0.0 ms for 9.0 ms  note="two words"
    └─ hop2 @s1  at 1.0 ms for 7.0 ms  note="two words"
       └─ hop3 @s1  at 4.0 ms for 2.0 ms  ERROR refused: fenced  note="two words""
  `);
});

test('lists the traces when several match', async () => {
  expect(await run('--id', '0123')).toMatchInlineSnapshot(`
    "0
    out: 0123aa  hop1 for 9.0 ms, 3 spans
    out: 0123bb  hop4 for 1.0 ms, 1 spans"
  `);
});

test('reports that no trace matches', async () => {
  expect(await run('--id', 'ff')).toMatchInlineSnapshot(`
    "8
    err: no trace ff in these files"
  `);
});

test('prints a trace as JSON', async () => {
  const [, printed] = (await run('--id', '0123b', '--json')).split('\nout: ');
  expect(JSON.parse(printed!)).toMatchObject({
    trace: '0123bb',
    roots: [{ span: { name: 'hop4', process: 'e1', tookMs: 1 }, children: [] }],
  });
});

function span(traceId: string, spanId: string, parentSpanId: string, startMs: number, ms: number) {
  return {
    ...{ traceId, spanId, parentSpanId, name: `hop${spanId}` },
    startTimeUnixNano: `${startMs}000000`,
    endTimeUnixNano: `${startMs + ms}000000`,
    attributes: [{ key: 'magnoliakeel.note', value: { stringValue: 'two words' } }],
    status: spanId === '3' ? { code: 2, message: 'refused: fenced' } : {},
  };
}

function lineOf(process: string, spans: object[]): string {
  const attributes = [{ key: 'service.instance.id', value: { stringValue: process } }];
  return JSON.stringify({ resourceSpans: [{ resource: { attributes }, scopeSpans: [{ spans }] }] });
}
