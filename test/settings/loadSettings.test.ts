import { expect, test } from 'vitest';
import formatFinding from '../../src/settings/formatFinding';
import loadSettings from '../../src/settings/loadSettings';

const SIDECAR = `role: sidecar
cluster: c
instance: s1
zone: a
listen: { backend: '127.0.0.1:0', operators: '127.0.0.1:0' }
entries: ['127.0.0.1:7000']
`;

const ENTRY = `role: entry
cluster: c
instance: e1
zone: a
listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:7000', operators: '127.0.0.1:0' }
store: { address: '127.0.0.1:2400' }
`;

function findingsOf(text: string): readonly string[] {
  return loadSettings(text, 'a.yaml').match(
    () => [],
    (found) => found.map(formatFinding),
  );
}

test('four mistakes give four findings with positions', () => {
  const text = SIDECAR.replace('zone: a', 'zoen: a')
    .replace('127.0.0.1:7000', 'host:7000')
    .concat('heartbeat:\n  intervalMs: 0\n');
  expect(findingsOf(text)).toMatchInlineSnapshot(`
    [
      "a.yaml:1:1 zone: found nothing, expected a name of up to 63 letters, digits, ".", "_" and "-"",
      "a.yaml:4:1 zoen: found an unknown key, expected "zone"",
      "a.yaml:6:11 entries.0: found "host:7000", expected an address "ip:port"",
      "a.yaml:8:15 heartbeat.intervalMs: found 0, expected a number of milliseconds from 1 to 86400000",
    ]
  `);
});

test('a mistyped role is reported together with the other mistakes for the intended role', () => {
  const text = ENTRY.replace('role: entry', 'role: entri').concat(
    'log: { level: loud }\nlimits:\nheartbeat: { suspectMs: 500 }\n',
  );
  expect(findingsOf(text)).toMatchInlineSnapshot(`
    [
      "a.yaml:1:7 role: found "entri", expected "entry" or "sidecar"",
      "a.yaml:7:15 log.level: found "loud", expected one of "error", "warn", "info", "debug"",
      "a.yaml:8:8 limits: found nothing, expected a mapping",
      "a.yaml:9:25 heartbeat.suspectMs: found 500, expected more than heartbeat.intervalMs, which is 1000",
    ]
  `);
});

test('defaults are filled in', () => {
  const settings = loadSettings(ENTRY, 'a.yaml').unwrapOr(undefined);
  expect(JSON.stringify(settings)).toMatchInlineSnapshot(
    `"{"role":"entry","cluster":"c","instance":"e1","zone":"a","listen":{"callers":"127.0.0.1:0","peers":"127.0.0.1:7000","operators":"127.0.0.1:0"},"store":{"address":"127.0.0.1:2400","leaseMs":5000,"timeoutMs":2000,"callsPerSecond":20},"peers":[],"limits":{"bodyBytes":4194304,"openBodyBytes":134217728,"headerBytes":16384,"bodyTimeoutMs":10000,"headerTimeoutMs":5000,"connections":2000,"recordBytes":268435456},"heartbeat":{"intervalMs":1000,"suspectMs":3000,"closeMs":10000},"recovery":{"witnessMs":3000,"clockSkewMs":5000},"dispatch":{"policy":"credits"},"log":{"level":"info"},"traces":{"sample":0,"otlp":"","output":""},"stop":{"drainMs":30000},"advertise":"127.0.0.1:7000"}"`,
  );
});

test('unreadable files and invalid keys are findings', () => {
  const cases = {
    'an empty file': '',
    'only comments': '# nothing\n',
    'a list': '- 1\n',
    'a broken mapping': 'role: [entry\nzone: a\n',
    'a tab for indentation': 'listen:\n\tpeers: x\n',
    'a key given twice': `${SIDECAR}zone: b\nlinks: none\n`,
    'an unresolved alias': `${SIDECAR}log: *other\n`,
    'a key of the prototype': `${SIDECAR}__proto__: { links: 1 }\n`,
    'no role': SIDECAR.replace('role: sidecar\n', ''),
    'two documents': `${SIDECAR}---\n${SIDECAR}`,
    'a bare word': 'entry',
    'a tag of another language': `${SIDECAR}log: !!python/none x\n`,
  };
  const found = Object.entries(cases).map(([name, text]) =>
    [name, ...findingsOf(text)].join('\n  '),
  );
  expect(found.join('\n')).toMatchInlineSnapshot(`
    "an empty file
      a.yaml:1:1: found an empty document, expected a mapping
    only comments
      a.yaml:1:1: found an empty document, expected a mapping
    a list
      a.yaml:1:1 role: found nothing, expected "entry" or "sidecar"
    a broken mapping
      a.yaml:2:1: cannot be read as YAML: Flow sequence in block collection must be sufficiently indented and end with a ]
    a tab for indentation
      a.yaml:2:1: cannot be read as YAML: Tabs are not allowed as indentation
    a key given twice
      a.yaml:7:1: found a key a second time, expected it once
      a.yaml:8:8 links: found "none", expected a whole number from 1 to 1024
    an unresolved alias
      a.yaml:7:6: found the alias "other", expected one that is defined before
    a key of the prototype
      a.yaml:7:1 __proto__: found an unknown key, expected one of role, cluster, instance, zone, listen, entries, links, ledger, backend, heartbeat, tls, log, traces, stop
    no role
      a.yaml:1:1 role: found nothing, expected "entry" or "sidecar"
    two documents
      a.yaml:7:1: found a second document, expected one
    a bare word
      a.yaml:1:1 role: found nothing, expected "entry" or "sidecar"
    a tag of another language
      a.yaml:7:6: cannot be read as YAML: Unresolved tag: tag:yaml.org,2002:python/none
      a.yaml:7:20 log: found "x", expected a mapping"
  `);
});

test('a deeply nested text gives a finding and does not throw', () => {
  expect(findingsOf('['.repeat(100_000)).length).toBeGreaterThan(0);
});
