import { expect, test } from 'vitest';
import CtlCase from '../support/CtlCase';

test('plan shows what an apply would change and changes nothing', async () => {
  const fixture = new CtlCase();
  const outputs = [await fixture.run('plan @first.yaml'), await fixture.run('apply @first.yaml')];
  const lines = ['plan @second.yaml', 'plan @second.yaml --json', 'plan @first.yaml'];
  for (const line of lines) outputs.push(await fixture.run(line));
  expect([...outputs, await fixture.activeVersion()]).toMatchInlineSnapshot(`
    [
      "0
    out: In force: no version yet
    out: Version 1 would change:
    out:   + services.booking
    out:       timeoutMs: 8000
    out:       maxTasks: 320
    out:       maxTaskBytes: 65536
    out:       maxOutputBytes: 65536
    out:       jobTimeoutMs: 120000
    out:       retentionMs: 600000
    out:       retryBudget: 0.1
    out:       idempotent: false
    out:       queue: { maxTasks 100000 }
    out:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    out:   + teams.web
    out:       share: 3",
      "0
    out: Applied version 1 (applied at 2025-01-01T00:00:00.000Z):
    out:   + services.booking
    out:       timeoutMs: 8000
    out:       maxTasks: 320
    out:       maxTaskBytes: 65536
    out:       maxOutputBytes: 65536
    out:       jobTimeoutMs: 120000
    out:       retentionMs: 600000
    out:       retryBudget: 0.1
    out:       idempotent: false
    out:       queue: { maxTasks 100000 }
    out:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    out:   + teams.web
    out:       share: 3",
      "0
    out: In force: version 1 (applied at 2025-01-01T00:00:00.000Z)
    out: Version 2 would change:
    out:   ~ services.booking.timeoutMs: 8000 -> 9000
    out:   + services.availability
    out:       idempotent: true
    out:       maxTasks: 320
    out:       maxTaskBytes: 65536
    out:       maxOutputBytes: 65536
    out:       timeoutMs: 10000
    out:       jobTimeoutMs: 120000
    out:       retentionMs: 600000
    out:       retryBudget: 0.1
    out:       queue: { maxTasks 100000 }
    out:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    out:   - teams.web",
      "0
    out: {"version":1,"changes":[{"kind":"changed","path":"services.booking.timeoutMs","before":8000,"after":9000},{"kind":"added","path":"services.availability","after":{"name":"availability","idempotent":true,"maxTasks":320,"maxTaskBytes":65536,"maxOutputBytes":65536,"timeoutMs":10000,"jobTimeoutMs":120000,"retentionMs":600000,"retryBudget":0.1,"queue":{"maxTasks":100000},"eject":{"failureShare":0.5,"minTasks":20,"windowMs":10000,"probationMs":5000,"maxShare":0.3}}},{"kind":"removed","path":"teams.web","before":{"name":"web","share":3}}]}",
      "0
    out: In force: version 1 (applied at 2025-01-01T00:00:00.000Z)
    out: The manifest changes nothing.",
      "1 by apply-1",
    ]
  `);
});

test('applying the same manifest again changes nothing', async () => {
  const fixture = new CtlCase();
  await fixture.run('apply @first.yaml');
  const outputs = [
    await fixture.run('apply @first.yaml'),
    await fixture.run('apply @first.yaml --planned 0'),
  ];
  expect([...outputs, await fixture.activeVersion()]).toMatchInlineSnapshot(`
    [
      "0
    out: In force already: version 1 (applied at 2025-01-01T00:00:00.000Z); nothing was changed.",
      "0
    out: In force already: version 1 (applied at 2025-01-01T00:00:00.000Z); nothing was changed.",
      "1 by apply-1",
    ]
  `);
});

test('an apply planned against another version reports both versions and changes nothing', async () => {
  const fixture = new CtlCase();
  await fixture.run('apply @first.yaml');
  const lines = ['apply @second.yaml --planned 0', 'apply @second.yaml --planned 0 --json'];
  const outputs = [await fixture.run(lines[0]!), await fixture.run(lines[1]!)];
  expect([...outputs, await fixture.activeVersion()]).toMatchInlineSnapshot(`
    [
      "5
    err: planned against version 0, but in force is version 1 (applied at 2025-01-01T00:00:00.000Z); nothing was changed
    err: Against version 1 the manifest changes:
    err:   ~ services.booking.timeoutMs: 8000 -> 9000
    err:   + services.availability
    err:       idempotent: true
    err:       maxTasks: 320
    err:       maxTaskBytes: 65536
    err:       maxOutputBytes: 65536
    err:       timeoutMs: 10000
    err:       jobTimeoutMs: 120000
    err:       retentionMs: 600000
    err:       retryBudget: 0.1
    err:       queue: { maxTasks 100000 }
    err:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    err:   - teams.web",
      "5
    out: {"exitCode":5,"reason":"planned against version 0, but in force is version 1 (applied at 2025-01-01T00:00:00.000Z); nothing was changed","planned":0,"version":1,"appliedAt":"2025-01-01T00:00:00.000Z","changes":[{"kind":"changed","path":"services.booking.timeoutMs","before":8000,"after":9000},{"kind":"added","path":"services.availability","after":{"name":"availability","idempotent":true,"maxTasks":320,"maxTaskBytes":65536,"maxOutputBytes":65536,"timeoutMs":10000,"jobTimeoutMs":120000,"retentionMs":600000,"retryBudget":0.1,"queue":{"maxTasks":100000},"eject":{"failureShare":0.5,"minTasks":20,"windowMs":10000,"probationMs":5000,"maxShare":0.3}}},{"kind":"removed","path":"teams.web","before":{"name":"web","share":3}}]}",
      "1 by apply-1",
    ]
  `);
});

test('of two concurrent applies one takes effect and the other reports both versions', async () => {
  const fixture = new CtlCase();
  let otherOutput = '';
  fixture.beforeManifestWrite = async () => {
    otherOutput = await fixture.run('apply @second.yaml --json');
  };
  const outputs = [await fixture.run('apply @first.yaml'), otherOutput.slice(0, 40)];
  expect([...outputs, await fixture.activeVersion()]).toMatchInlineSnapshot(`
    [
      "5
    err: planned against version 0, but in force is version 1 (applied at 2025-01-01T00:00:00.000Z); nothing was changed
    err: Against version 1 the manifest changes:
    err:   - services.availability
    err:   ~ services.booking.timeoutMs: 9000 -> 8000
    err:   + teams.web
    err:       share: 3",
      "0
    out: {"applied":true,"version":1,"appl",
      "1 by apply-2",
    ]
  `);
});

test('two concurrent applies of the same manifest both succeed, and one changes nothing', async () => {
  const fixture = new CtlCase();
  fixture.beforeManifestWrite = () => fixture.run('apply @first.yaml');
  expect([await fixture.run('apply @first.yaml'), await fixture.activeVersion()])
    .toMatchInlineSnapshot(`
    [
      "0
    out: In force already: version 1 (applied at 2025-01-01T00:00:00.000Z); nothing was changed.",
      "1 by apply-2",
    ]
  `);
});

test('an apply whose answer is lost recognises its own write', async () => {
  const fixture = new CtlCase();
  await fixture.run('apply @first.yaml');
  fixture.engine.setFaults({ answerLost: true });
  const applied = await fixture.run('apply @second.yaml --json');
  fixture.engine.setFaults({});
  expect([applied, await fixture.activeVersion()]).toMatchInlineSnapshot(`
    [
      "0
    out: {"applied":true,"version":2,"applyId":"apply-2","appliedAt":"2025-01-01T00:00:00.000Z","changes":[{"kind":"changed","path":"services.booking.timeoutMs","before":8000,"after":9000},{"kind":"added","path":"services.availability","after":{"name":"availability","idempotent":true,"maxTasks":320,"maxTaskBytes":65536,"maxOutputBytes":65536,"timeoutMs":10000,"jobTimeoutMs":120000,"retentionMs":600000,"retryBudget":0.1,"queue":{"maxTasks":100000},"eject":{"failureShare":0.5,"minTasks":20,"windowMs":10000,"probationMs":5000,"maxShare":0.3}}},{"kind":"removed","path":"teams.web","before":{"name":"web","share":3}}]}",
      "2 by apply-2",
    ]
  `);
});

test('an unreachable store, a wrong file and a malformed address are reported differently', async () => {
  const fixture = new CtlCase();
  fixture.engine.setFaults({ down: true });
  const lines = ['apply @first.yaml', 'apply @wrong.yaml', 'plan @none.yaml', 'rollback x'];
  lines.push('plan @first.yaml --store nowhere', 'plan @first.yaml --targets @wrong.yaml');
  const outputs: string[] = [];
  for (const line of lines) outputs.push(await fixture.run(line));
  expect(outputs).toMatchInlineSnapshot(`
    [
      "6
    err: the store does not answer: the store is down",
      "3
    err: test/ctl/manifests/wrong.yaml:3:5 services.0.timeotMs: found an unknown key, expected "timeoutMs"",
      "3
    err: test/ctl/manifests/none.yaml:1:1: cannot be read: there is no such file",
      "2
    err: found "x" for <version>, expected a whole number",
      "2
    err: found the address "nowhere", expected "ip:port"",
      "3
    err: test/ctl/manifests/wrong.yaml:1:1 services: found an unknown key, expected store or entries",
    ]
  `);
});

test('a rollback creates a new version, and history lists all versions', async () => {
  const fixture = new CtlCase();
  const lines = ['history', 'apply @first.yaml', 'apply @second.yaml', 'rollback 1', 'rollback 1'];
  lines.push('rollback 7', 'history');
  const outputs: string[] = [];
  for (const line of lines) outputs.push(await fixture.run(line));
  expect(outputs).toMatchInlineSnapshot(`
    [
      "0
    out: No version was applied yet.",
      "0
    out: Applied version 1 (applied at 2025-01-01T00:00:00.000Z):
    out:   + services.booking
    out:       timeoutMs: 8000
    out:       maxTasks: 320
    out:       maxTaskBytes: 65536
    out:       maxOutputBytes: 65536
    out:       jobTimeoutMs: 120000
    out:       retentionMs: 600000
    out:       retryBudget: 0.1
    out:       idempotent: false
    out:       queue: { maxTasks 100000 }
    out:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    out:   + teams.web
    out:       share: 3",
      "0
    out: Applied version 2 (applied at 2025-01-01T00:00:00.000Z):
    out:   ~ services.booking.timeoutMs: 8000 -> 9000
    out:   + services.availability
    out:       idempotent: true
    out:       maxTasks: 320
    out:       maxTaskBytes: 65536
    out:       maxOutputBytes: 65536
    out:       timeoutMs: 10000
    out:       jobTimeoutMs: 120000
    out:       retentionMs: 600000
    out:       retryBudget: 0.1
    out:       queue: { maxTasks 100000 }
    out:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    out:   - teams.web",
      "0
    out: Applied version 3 (applied at 2025-01-01T00:00:00.000Z, a rollback to 1):
    out:   - services.availability
    out:   ~ services.booking.timeoutMs: 9000 -> 8000
    out:   + teams.web
    out:       share: 3",
      "0
    out: In force already: version 3 (applied at 2025-01-01T00:00:00.000Z, a rollback to 1); nothing was changed.",
      "8
    err: there is no version 7 to go back to; kept are 3, 2, 1",
      "0
    out: VERSION  APPLIED AT                CHANGES  NOTE
    out:       3  2025-01-01T00:00:00.000Z        3  in force, rollback to 1
    out:       2  2025-01-01T00:00:00.000Z        3
    out:       1  2025-01-01T00:00:00.000Z        2",
    ]
  `);
});

test('history keeps the last twenty versions', async () => {
  const fixture = new CtlCase();
  for (let index = 0; index < 26; index += 1) {
    await fixture.run(`apply @${index % 2 === 0 ? 'first' : 'second'}.yaml`);
  }
  const { versions } = JSON.parse((await fixture.run('history --json')).replace(/^0\nout: /, ''));
  expect(
    versions.map(({ version }: { version: number }) => version).join(' '),
  ).toMatchInlineSnapshot(`"26 25 24 23 22 21 20 19 18 17 16 15 14 13 12 11 10 9 8 7"`);
});

test('apply --wait ends when the version is active at every process', async () => {
  const fixture = new CtlCase();
  const updatedAt = fixture.timer.now() + 1_000;
  fixture.setStatus(() => [
    { instance: 'entry-1', configurationVersion: 1 },
    { instance: 'sidecar-1', configurationVersion: fixture.timer.now() < updatedAt ? 0 : 1 },
  ]);
  expect(await fixture.run('apply @first.yaml --wait')).toMatchInlineSnapshot(`
    "0
    out: Applied version 1 (applied at 2025-01-01T00:00:00.000Z):
    out:   + services.booking
    out:       timeoutMs: 8000
    out:       maxTasks: 320
    out:       maxTaskBytes: 65536
    out:       maxOutputBytes: 65536
    out:       jobTimeoutMs: 120000
    out:       retentionMs: 600000
    out:       retryBudget: 0.1
    out:       idempotent: false
    out:       queue: { maxTasks 100000 }
    out:       eject: { failureShare 0.5, minTasks 20, windowMs 10000, probationMs 5000, maxShare 0.3 }
    out:   + teams.web
    out:       share: 3
    out: Version 1 is in force at all 2 processes, 1000 ms after the apply."
  `);
});

test('apply --wait names the processes at which the version is not active in time', async () => {
  const fixture = new CtlCase();
  fixture.setStatus(() => [
    { instance: 'entry-1', configurationVersion: 1 },
    { instance: 'entry-2', configurationVersion: 0, reachable: false },
    { instance: 'sidecar-1', role: 'sidecar', configurationVersion: 0 },
  ]);
  const lines = ['apply @first.yaml --wait --limit 2', 'apply @first.yaml --wait --limit 2 --json'];
  expect([await fixture.run(lines[0]!), await fixture.run(lines[1]!)]).toMatchInlineSnapshot(`
    [
      "7
    err: version 1 is not in force at 2 processes:
    err: INSTANCE   ROLE     ZONE  VERSION  STATE
    err: entry-2    entry    a           0  does not answer
    err: sidecar-1  sidecar  a           0  answers",
      "7
    out: {"exitCode":7,"reason":"version 1 is not in force at 2 processes:","applied":false,"version":1,"appliedAt":"2025-01-01T00:00:00.000Z","changes":[],"missing":[{"instance":"entry-2","role":"entry","zone":"a","configurationVersion":0,"reachable":false},{"instance":"sidecar-1","role":"sidecar","zone":"a","configurationVersion":0,"reachable":true}]}",
    ]
  `);
});

test('removed services and teams are kept until the retention of their jobs has ended', async () => {
  const fixture = new CtlCase();
  const retiredNames: string[] = [];
  const apply = async (file: string) => {
    await fixture.run(`apply ${file}`);
    const stored = JSON.parse((await fixture.engine.get('manifest')).unwrapOr(undefined)!.value);
    const { services = [], teams = [] } = stored.retired ?? {};
    retiredNames.push([...services, ...teams].map(({ name }) => name).join(' '));
  };
  await apply('@first.yaml');
  await apply('@second.yaml');
  await apply('@none-of-them.yaml');
  await fixture.timer.advance(600_000);
  await apply('@first.yaml');
  await fixture.timer.advance(600_000);
  await apply('@second.yaml');
  expect(retiredNames).toMatchInlineSnapshot(`
    [
      "",
      "web",
      "availability booking web",
      "availability",
      "web",
    ]
  `);
});
