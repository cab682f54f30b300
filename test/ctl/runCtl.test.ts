import { expect, test } from 'vitest';
import runCtl from '../../src/ctl/runCtl';
import RecordingTerminal from '../support/RecordingTerminal';

async function run(line: string): Promise<string> {
  const terminal = new RecordingTerminal();
  const code = await runCtl(line.split(' ').filter(Boolean), terminal);
  return [code, ...terminal.lines].join('\n');
}

test('validate distinguishes settings from a manifest', async () => {
  const lines = ['validate examples/sidecar.yaml', 'validate examples/manifest.yaml'];
  expect(await Promise.all(lines.map(run))).toMatchInlineSnapshot(`
    [
      "0
    out: examples/sidecar.yaml: settings, no mistakes found",
      "0
    out: examples/manifest.yaml: manifest, no mistakes found",
    ]
  `);
});

test('validate prints findings as text or as JSON', async () => {
  const lines = ['validate tsconfig.json', 'validate tsconfig.json --json'];
  expect(await Promise.all(lines.map(run))).toMatchInlineSnapshot(`
    [
      "3
    err: tsconfig.json:2:3 compilerOptions: found an unknown key, expected one of services, teams, system
    err: tsconfig.json:18:3 include: found an unknown key, expected one of services, teams, system",
      "3
    out: {"file":"tsconfig.json","valid":false,"kind":"manifest","findings":[{"file":"tsconfig.json","line":2,"column":3,"path":"compilerOptions","message":"found an unknown key, expected one of services, teams, system"},{"file":"tsconfig.json","line":18,"column":3,"path":"include","message":"found an unknown key, expected one of services, teams, system"}]}",
    ]
  `);
});

test('a wrong command line is reported with the nearest command or option', async () => {
  const lines = ['', 'valdate x', 'toString', 'validate', 'validate a b', 'validate a --jsn'];
  expect(await Promise.all(lines.map(run))).toMatchInlineSnapshot(`
    [
      "2
    err: magnoliakeelctl: a command is missing, one of validate, plan, apply, history, rollback, status, drain, jobs, trace, explain, causes
    Run \`magnoliakeelctl --help\` for its use.",
      "2
    err: magnoliakeelctl: unknown command "valdate", did you mean "validate"?
    Run \`magnoliakeelctl --help\` for its use.",
      "2
    err: magnoliakeelctl: unknown command "toString", expected one of validate, plan, apply, history, rollback, status, drain, jobs, trace, explain, causes
    Run \`magnoliakeelctl --help\` for its use.",
      "2
    err: magnoliakeelctl: the argument <file> is missing
    Run \`magnoliakeelctl --help\` for its use.",
      "2
    err: magnoliakeelctl: the argument "b" is not expected
    Run \`magnoliakeelctl --help\` for its use.",
      "2
    err: magnoliakeelctl: unknown option --jsn, did you mean --json?
    Run \`magnoliakeelctl --help\` for its use.",
    ]
  `);
});
