import { afterEach, expect, test } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

const systems: SimulatedSystem[] = [];

afterEach(() => systems.splice(0).forEach((system) => system.stop()));

async function startSystem(): Promise<SimulatedSystem> {
  const system = await SimulatedSystem.start();
  systems.push(system);
  return system;
}

/** An id that e1 owns, and that `next` owns once e1 is gone. */
function idOf(system: SimulatedSystem, next: 'e2' | 'e3', from = 0): string {
  for (let n = from; ; n += 1) {
    const id = `job-${n}`;
    const isWanted =
      system.owner('job', id) === 'e1' && system.owner('job', id, ['e2', 'e3']) === next;
    if (isWanted) return id;
  }
}

function historyOf(system: SimulatedSystem, id: string): string[] {
  return system.events.flatMap((event) => {
    if (event.id !== id) return [];
    if (event.kind === 'started') return ['started'];
    return event.kind === 'answered' ? [event.outcome] : [];
  });
}

test('a lost owner’s job is continued by the next owner that is not leaving', async () => {
  const system = await startSystem();
  const id = idOf(system, 'e2');
  const kept = Array.from({ length: 50 }, (_, n) => `kept-${n}`).find(
    (name) => system.owner('job', name) === 'e2',
  )!;
  system.call({ id: kept, kind: 'job', tasks: [9500, 9500, 9500, 9500], via: 'e2' });
  await system.timer.advance(100);
  system.shutDown('e2');
  await system.timer.advance(500);
  system.call({ id, kind: 'job', tasks: [50], via: 'e3', once: true });
  await system.timer.advance(200);
  system.kill('e1');
  await system.advanceUntil(
    () => !system.view('e3').members.some(({ instance }) => instance === 'e1'),
    9000,
    10,
  );
  system.call({ id, kind: 'job', tasks: [50], via: 'e3', once: true });
  await system.timer.advance(2000);
  expect(historyOf(system, id)).toEqual(['started', 'completed', 'completed']);
});

test('a job completes if a sidecar is lost after it has reported what a lost owner started there', async () => {
  const system = await startSystem();
  const id = idOf(system, 'e2');
  system.kill('e1');
  await system.advanceUntil(
    () => !system.view('e2').members.some(({ instance }) => instance === 'e1'),
    9000,
    10,
  );
  await system.timer.advance(500);
  system.kill('s1');
  await system.timer.advance(5000);
  system.call({ id, kind: 'job', tasks: [50], via: 'e3', once: true });
  await system.timer.advance(6000);
  expect(historyOf(system, id)).toEqual(['started', 'completed']);
});

test('an entry that joins later gets the reports of lost sidecars from a former owner', async () => {
  const system = await startSystem();
  system.kill('e1');
  const isGone = () => !system.view('e2').members.some(({ instance }) => instance === 'e1');
  await system.advanceUntil(isGone, 9000, 10);
  await system.timer.advance(500);
  system.kill('s1');
  await system.timer.advance(4000);
  await system.restart('e1');
  await system.timer.advance(3000);
  const ids = Array.from({ length: 40 }, (_, n) => `job-${n}`).filter(
    (id) => system.owner('job', id) === 'e1',
  );
  ids.forEach((id) => system.call({ id, kind: 'job', tasks: [50], via: 'e3', once: true }));
  await system.advanceUntil(() => system.openCalls === 0, 20_000, 10);
  const outcomes = ids.map((id) => historyOf(system, id).join(' '));
  expect([...new Set(outcomes)]).toEqual(['started completed']);
});
