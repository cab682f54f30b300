import { expect, it } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';
import checkOutcomes from './checkOutcomes';

it('ignores the answer of a new process at a former owner’s address', async () => {
  const system = await SimulatedSystem.start();
  const ids = Array.from({ length: 200 }, (_, n) => `r${n}`);
  const own = ids.filter((id) => system.owner('request', id) === 'e1').slice(0, 12);
  own.forEach((id) => system.call({ id, kind: 'request', tasks: [1000], via: 'e2' }));
  await system.timer.advance(100);
  system.shutDown('e1');
  await system.timer.advance(20);
  system.engine.setFaults({ down: true });
  system.kill('e1');
  await system.timer.advance(200);
  await system.restart('e1');
  await system.timer.advance(4000);
  system.engine.setFaults({});
  await system.advanceUntil(() => system.openCalls === 0, 40_000, 50);
  system.stop();
  expect(checkOutcomes(system.events, 12_000)).toEqual([]);
});

it('stops waiting for a former owner that does not answer', async () => {
  const system = await SimulatedSystem.start();
  system.network.hold(({ kind }) => kind === 'claim');
  const ids = Array.from({ length: 20 }, (_, n) => `r${n}`);
  ids.forEach((id) => system.call({ id, kind: 'request', tasks: [10], via: 'e1', once: true }));
  await system.timer.advance(12_500);
  system.stop();
  expect(checkOutcomes(system.events, 12_000)).toEqual([]);
  expect(
    system.events.filter((event) => event.kind === 'answered' && event.outcome === 'lost'),
  ).toEqual([]);
});
