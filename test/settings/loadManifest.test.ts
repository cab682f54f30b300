import { expect, test } from 'vitest';
import formatFinding from '../../src/settings/formatFinding';
import loadManifest from '../../src/settings/loadManifest';

function findingsOf(text: string): readonly string[] {
  return loadManifest(text, 'm.yaml').match(
    () => [],
    (found) => found.map(formatFinding),
  );
}

test('duplicate names are findings at the later position', () => {
  const text =
    'services:\n  - name: a\n  - name: a\nteams: [{ name: t }, { name: u }, { name: t }]\n';
  expect(findingsOf(text)).toMatchInlineSnapshot(`
    [
      "m.yaml:3:11 services.1.name: found "a" again, expected a name other than that of services.0",
      "m.yaml:4:43 teams.2.name: found "t" again, expected a name other than that of teams.0",
    ]
  `);
});

test('a retention that does not exceed the job timeout is a finding', () => {
  expect(findingsOf('services: [{ name: a, retentionMs: 120000 }]')).toMatchInlineSnapshot(`
    [
      "m.yaml:1:36 services.0.retentionMs: found 120000, expected more than jobTimeoutMs, which is 120000",
    ]
  `);
});

test('a timeout above the default retention is reported at its service', () => {
  const text = 'services:\n  - name: a\n    jobTimeoutMs: 700000\n';
  expect(findingsOf(text)).toMatchInlineSnapshot(`
    [
      "m.yaml:2:5 services.0.retentionMs: found 600000, expected more than jobTimeoutMs, which is 700000",
    ]
  `);
});

test('keys, types and bounds are checked together', () => {
  const text = 'services: [{ name: A, maxTask: 3, retryBudget: 2, idempotent: "no" }]\nteams: {}\n';
  expect(findingsOf(text)).toMatchInlineSnapshot(`
    [
      "m.yaml:1:20 services.0.name: found "A", expected a name of lower-case letters, digits and "-" that starts with a letter, up to 63 long",
      "m.yaml:1:23 services.0.maxTask: found an unknown key, expected "maxTasks"",
      "m.yaml:1:48 services.0.retryBudget: found 2, expected a share from 0 to 1",
      "m.yaml:1:63 services.0.idempotent: found "no", expected true or false",
      "m.yaml:2:8 teams: found a mapping, expected a list",
    ]
  `);
});

test('defaults are filled in', () => {
  const text = 'services: [{ name: a }]\nteams: [{ name: t }]';
  expect(JSON.stringify(loadManifest(text, 'm.yaml').unwrapOr(undefined))).toMatchInlineSnapshot(
    `"{"services":[{"name":"a","maxTasks":320,"maxTaskBytes":65536,"maxOutputBytes":65536,"timeoutMs":10000,"jobTimeoutMs":120000,"retentionMs":600000,"retryBudget":0.1,"idempotent":false,"queue":{"maxTasks":100000},"eject":{"failureShare":0.5,"minTasks":20,"windowMs":10000,"probationMs":5000,"maxShare":0.3}}],"teams":[{"name":"t","share":1}],"system":{"defaultTeam":"default"}}"`,
  );
});

test('a mistake in an aliased value is reported at its anchor', () => {
  const text = 'services:\n- { name: a, queue: &q { maxTasks: 0 } }\n- { name: b, queue: *q }\n';
  expect(findingsOf(text)).toMatchInlineSnapshot(`
    [
      "m.yaml:2:36 services.0.queue.maxTasks: found 0, expected a whole number from 1 to 10000000",
      "m.yaml:2:36 services.1.queue.maxTasks: found 0, expected a whole number from 1 to 10000000",
    ]
  `);
});
