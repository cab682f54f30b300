import { expect, it } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

/** Starts a system whose credits are all idle at one entry while another needs them, which has a faulty link to s1. */
async function startWithBorrower(
  fault: (system: SimulatedSystem) => void,
): Promise<SimulatedSystem> {
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
  [
    'when there is no link to their sidecar',
    ({ network }, borrower) => network.partition(borrower, 's1'),
  ],
  ['when their starts are lost', ({ network }, borrower) => network.blackhole(borrower, 's1')],
])('returns borrowed credits to their lender %s', async (_name, fault) => {
  const borrowerOf = (system: SimulatedSystem) => system.owner('job', 'J1');
  const system = await startWithBorrower((started) => fault(started, borrowerOf(started)));
  await system.timer.advance(30_000);
  system.network.heal(borrowerOf(system), 's1');
  await system.timer.advance(10_000);
  const idle = [...system.entries.values()].flatMap(({ entry }) =>
    entry.dispatcher.serviceLoads().map((load) => load.idle),
  );
  system.stop();
  expect(idle.reduce((sum, each) => sum + each, 0)).toBe(12);
});
