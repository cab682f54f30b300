import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { expect, onTestFinished, test } from 'vitest';
import runDaemon from '../../src/daemon/runDaemon';
import RecordingTerminal from '../support/RecordingTerminal';

async function run(line: string): Promise<string> {
  const terminal = new RecordingTerminal();
  const argv = line.split(' ').filter(Boolean);
  const code = await runDaemon(argv, terminal, new AbortController().signal);
  return [code, ...terminal.lines].join('\n');
}

test('--check exits with 0 for settings without mistakes', async () => {
  expect(await run('--check --config examples/entry.yaml')).toMatchInlineSnapshot(`
    "0
    out: examples/entry.yaml: settings of role entry, no mistakes found"
  `);
});

test('mistakes in the settings are printed and give their own exit code', async () => {
  expect(await run('--config examples/manifest.yaml')).toMatchInlineSnapshot(`
    "3
    err: examples/manifest.yaml:3:1 role: found nothing, expected "entry" or "sidecar""
  `);
});

test('a missing settings file is reported as a finding', async () => {
  expect(await run('--config examples/none.yaml')).toMatchInlineSnapshot(`
    "3
    err: examples/none.yaml:1:1: cannot be read: there is no such file"
  `);
});

test('a wrong command line is reported, with the nearest option for an unknown one', async () => {
  const lines = ['', '--confg x', '--config', '--config a --config b', '--config a b', '--zzzzzzz'];
  expect(await Promise.all(lines.map(run))).toMatchInlineSnapshot(`
    [
      "2
    err: magnoliakeeld: the option --config is missing
    Run \`magnoliakeeld --help\` for its use.",
      "2
    err: magnoliakeeld: unknown option --confg, did you mean --config?
    Run \`magnoliakeeld --help\` for its use.",
      "2
    err: magnoliakeeld: the option --config needs a value
    Run \`magnoliakeeld --help\` for its use.",
      "2
    err: magnoliakeeld: the option --config is given more than once
    Run \`magnoliakeeld --help\` for its use.",
      "2
    err: magnoliakeeld: the argument "b" is not expected
    Run \`magnoliakeeld --help\` for its use.",
      "2
    err: magnoliakeeld: unknown option --zzzzzzz
    Run \`magnoliakeeld --help\` for its use.",
    ]
  `);
});

test('--check prints a finding with its position for each of four mistakes', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'magnoliakeel-test-'));
  onTestFinished(() => rm(folder, { recursive: true }));
  const file = path.join(folder, 'entry.yaml');
  const text = [
    '{ role: entry, cluster: c, instance: e, zone: z,',
    'listen: { callers: 10.0.1.10, peers: 10.0.1.10:1, operators: 10.0.1.10:2 },',
    'store: { address: 10.0.0.5:1 }, limits: { conections: 9 },',
    'log: { level: loud }, traces: { sample: 2 } }',
  ];
  await writeFile(file, text.join('\n'));
  expect((await run(`--check --config ${file}`)).replaceAll(folder, '')).toMatchInlineSnapshot(`
    "3
    err: /entry.yaml:2:20 listen.callers: found "10.0.1.10", expected an address "ip:port"
    err: /entry.yaml:3:43 limits.conections: found an unknown key, expected "connections"
    err: /entry.yaml:4:15 log.level: found "loud", expected one of "error", "warn", "info", "debug"
    err: /entry.yaml:4:41 traces.sample: found 2, expected a share from 0 to 1"
  `);
});
