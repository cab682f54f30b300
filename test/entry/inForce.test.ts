import { expect, test } from 'vitest';
import System from '../support/System';

test('a change is in force at every process at once', async () => {
  const system = await System.start();
  await system.configure();
  await system.timer.advance(100);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('an entry that cannot reach the store learns a change from the others', async () => {
  const system = await System.start();
  system.engine.setFaults({ down: true }, 'e1');
  await system.configure();
  await system.timer.advance(100);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('an entry without store and entries learns a change through a sidecar', async () => {
  const system = await System.start();
  system.engine.setFaults({ down: true }, 'e1');
  system.network.cut('e1', 'e2');
  system.network.cut('e1', 'e3');
  await system.configure();
  await system.timer.advance(2_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('a change made right after a long outage of the store is in force within 4 s', async () => {
  const system = await System.start();
  system.engine.setFaults({ down: true });
  await system.timer.advance(120_000);
  system.engine.setFaults({});
  await system.configure();
  await system.timer.advance(4_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('an entry and a sidecar that start again while the store is down have the newest version', async () => {
  const system = await System.start();
  await system.configure();
  await system.timer.advance(100);
  system.engine.setFaults({ down: true });
  ['e1', 's1'].forEach((name) => system.kill(name));
  await system.restart('e1');
  await system.restart('s1');
  const ready: boolean[] = [];
  const look = () => ready.push(system.entries.get('e1')!.entry.isReady);
  look();
  await system.timer.advance(4_000);
  look();
  expect([system.versions(), ready.join()]).toMatchInlineSnapshot(`
    [
      "e1 2, e2 2, e3 2, s1 2, s2 2, s3 2",
      "false,true",
    ]
  `);
});

test('no process goes back when the store does', async () => {
  const system = await System.start();
  await system.configure();
  await system.timer.advance(100);
  await system.engine.put('manifest', '{"version":1,"manifest":{}}');
  await system.timer.advance(60_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('a paused process has the newest version when it goes on', async () => {
  const system = await System.start();
  ['e1', 's1'].forEach((name) => system.pause(name));
  await system.configure();
  await system.timer.advance(2_000);
  ['e1', 's1'].forEach((name) => system.resume(name));
  await system.timer.advance(1_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('work in flight of a removed service finishes, and new work is refused', async () => {
  const system = await System.start();
  const ask = { id: 'j', kind: 'job', tasks: [3000, 3000], via: 'e1' } as const;
  system.call(ask).catch(() => undefined);
  await system.timer.advance(500);
  await system.configure(
    { services: [] },
    { services: [{ name: 'booking', retentionMs: 600_000 }] },
  );
  await system.timer.advance(5_000);
  const outcomes = () =>
    system.happenings.flatMap((event) => (event.kind === 'answered' ? event.outcome : []));
  const first = outcomes().join();
  system.call({ ...ask, id: 'k', once: true }).catch(() => undefined);
  await system.timer.advance(1_000);
  expect([first, outcomes().join()]).toMatchInlineSnapshot(`
    [
      "completed",
      "completed,invalid",
    ]
  `);
});
