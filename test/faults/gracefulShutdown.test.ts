import { afterEach, expect, test } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

const systems: SimulatedSystem[] = [];

afterEach(() => systems.splice(0).forEach((system) => system.stop()));

async function startSystem(): Promise<SimulatedSystem> {
  const system = await SimulatedSystem.start();
  systems.push(system);
  return system;
}

async function replace(system: SimulatedSystem, ...instances: string[]): Promise<void> {
  for (const instance of instances) {
    system.shutDown(instance);
    await system.timer.advance(3000);
    await system.restart(instance);
    await system.timer.advance(1500);
  }
}

async function outcomesOf(system: SimulatedSystem, ids: readonly string[]): Promise<string[]> {
  const { events } = system;
  const from = events.length;
  ids.forEach((id) => system.call({ id, kind: 'job', tasks: [50, 50], via: 'e1', once: true }));
  await system.advanceUntil(() => system.openCalls === 0, 20_000, 10);
  return events.slice(from).flatMap((event) => (event.kind === 'answered' ? [event.outcome] : []));
}

const ids = Array.from({ length: 12 }, (_, n) => `job-${n}`);

test('new jobs complete after all entries and then all sidecars were replaced gracefully', async () => {
  const system = await startSystem();
  await replace(system, 'e1', 'e2', 'e3', 's1', 's2', 's3');
  expect([...new Set(await outcomesOf(system, ids))]).toEqual(['completed']);
});

test('the answer to a job survives the graceful shutdown of its owner and its sidecars', async () => {
  const system = await startSystem();
  await outcomesOf(system, ids);
  await replace(system, 'e1', 'e2', 's1', 's2', 's3');
  const again = await outcomesOf(system, ids);
  const starts = system.events.filter(({ kind }) => kind === 'started').length;
  expect([[...new Set(again)], starts]).toEqual([['completed'], ids.length * 2]);
});
