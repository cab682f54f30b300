import { expect, test } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

test('a new configuration is active at every process within 100 ms', async () => {
  const system = await SimulatedSystem.start();
  await system.configure();
  await system.timer.advance(100);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('an entry that cannot reach the store receives a new configuration from the other entries', async () => {
  const system = await SimulatedSystem.start();
  system.engine.setFaults({ down: true }, 'e1');
  await system.configure();
  await system.timer.advance(100);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('an entry isolated from the store and the other entries receives a new configuration from a sidecar', async () => {
  const system = await SimulatedSystem.start();
  system.engine.setFaults({ down: true }, 'e1');
  system.network.partition('e1', 'e2');
  system.network.partition('e1', 'e3');
  await system.configure();
  await system.timer.advance(2_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('a new configuration set right after a long store outage is active within 4 s', async () => {
  const system = await SimulatedSystem.start();
  system.engine.setFaults({ down: true });
  await system.timer.advance(120_000);
  system.engine.setFaults({});
  await system.configure();
  await system.timer.advance(4_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('an entry and a sidecar restarted while the store is down receive the newest version', async () => {
  const system = await SimulatedSystem.start();
  await system.configure();
  await system.timer.advance(100);
  system.engine.setFaults({ down: true });
  ['e1', 's1'].forEach((name) => system.kill(name));
  await system.restart('e1');
  await system.restart('s1');
  const ready: boolean[] = [];
  const recordReady = () => ready.push(system.entries.get('e1')!.entry.isReady);
  recordReady();
  await system.timer.advance(4_000);
  recordReady();
  expect([system.versions(), ready.join()]).toMatchInlineSnapshot(`
    [
      "e1 2, e2 2, e3 2, s1 2, s2 2, s3 2",
      "false,true",
    ]
  `);
});

test('no process reverts to an older version when the store does', async () => {
  const system = await SimulatedSystem.start();
  await system.configure();
  await system.timer.advance(100);
  await system.engine.put('manifest', '{"version":1,"manifest":{}}');
  await system.timer.advance(60_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('a paused process receives the newest version once it resumes', async () => {
  const system = await SimulatedSystem.start();
  ['e1', 's1'].forEach((name) => system.pause(name));
  await system.configure();
  await system.timer.advance(2_000);
  ['e1', 's1'].forEach((name) => system.resume(name));
  await system.timer.advance(1_000);
  expect(system.versions()).toMatchInlineSnapshot(`"e1 2, e2 2, e3 2, s1 2, s2 2, s3 2"`);
});

test('jobs in flight of a removed service finish, and new jobs are refused', async () => {
  const system = await SimulatedSystem.start();
  const call = { id: 'j', kind: 'job', tasks: [3000, 3000], via: 'e1' } as const;
  system.call(call).catch(() => undefined);
  await system.timer.advance(500);
  await system.configure(
    { services: [] },
    { services: [{ name: 'booking', retentionMs: 600_000 }] },
  );
  await system.timer.advance(5_000);
  const outcomes = () =>
    system.events.flatMap((event) => (event.kind === 'answered' ? event.outcome : []));
  const first = outcomes().join();
  system.call({ ...call, id: 'k', once: true }).catch(() => undefined);
  await system.timer.advance(1_000);
  expect([first, outcomes().join()]).toMatchInlineSnapshot(`
    [
      "completed",
      "completed,invalid",
    ]
  `);
});

test('an owner processes a forwarded job only once it has the configuration of the forwarding entry', async () => {
  const system = await SimulatedSystem.start();
  await system.configure({ services: [] });
  await system.timer.advance(100);
  const owner = system.owner('job', 'j');
  const via = ['e1', 'e2', 'e3'].find((name) => name !== owner)!;
  system.engine.setFaults({ down: true }, owner);
  const delayedKinds = ['configuration', 'heartbeat'];
  const held = system.network.hold(({ kind, to }) => to === owner && delayedKinds.includes(kind));
  await system.configure();
  await system.timer.advance(100);
  const before = system.versions();
  system.call({ id: 'j', kind: 'job', tasks: [100], via, once: true }).catch(() => undefined);
  await system.timer.advance(500);
  const waiting = system.openCalls;
  held.release();
  await system.timer.advance(1_000);
  const last = system.events.at(-1)!;
  expect([before, waiting, last.kind === 'answered' && last.outcome]).toMatchInlineSnapshot(`
    [
      "e1 3, e2 2, e3 3, s1 3, s2 3, s3 3",
      1,
      "completed",
    ]
  `);
});
