import { expect, it } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

/** Has every credit idle at one entry, away from the one that will need them, with its link to s1 faulty. */
async function withBorrower(fault: (system: SimulatedSystem) => void): Promise<SimulatedSystem> {
  const system = await SimulatedSystem.start();
  const id = 'J1';
  const borrower = system.owner('job', id);
  const tasks = new Array(system.slots * system.sidecars.size).fill(300);
  system.call({ id: 'first', kind: 'job', tasks, via: borrower });
  await system.advanceUntil(() => system.openCalls === 0, 5000);
  await system.timer.advance(1500);
  fault(system);
  system.call({ id, kind: 'job', tasks, via: borrower });
  return system;
}

it.each<[string, (system: SimulatedSystem, borrower: string) => void]>([
  ['without a link to their sidecar', ({ network }, borrower) => network.partition(borrower, 's1')],
  ['whose starts vanish', ({ network }, borrower) => network.blackhole(borrower, 's1')],
])('borrowed credits %s go back to their lender', async (_name, fault) => {
  const borrowerOf = (system: SimulatedSystem) => system.owner('job', 'J1');
  const system = await withBorrower((started) => fault(started, borrowerOf(started)));
  await system.timer.advance(30_000);
  system.network.heal(borrowerOf(system), 's1');
  await system.timer.advance(10_000);
  const idle = [...system.entries.values()].flatMap(({ entry }) =>
    entry.dispatcher.serviceLoads().map((load) => load.idle),
  );
  system.stop();
  expect(idle.reduce((sum, each) => sum + each, 0)).toBe(12);
});
