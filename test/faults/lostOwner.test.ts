import { afterEach, expect, test } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

const systems: SimulatedSystem[] = [];

afterEach(() => systems.splice(0).forEach((system) => system.stop()));

async function started(): Promise<SimulatedSystem> {
  const system = await SimulatedSystem.start();
  systems.push(system);
  return system;
}

/** An id that e1 owns, and `next` once e1 is gone. */
function idOf(system: SimulatedSystem, next: 'e2' | 'e3', from = 0): string {
  for (let n = from; ; n += 1) {
    const id = `job-${n}`;
    const isWanted =
      system.owner('job', id) === 'e1' && system.owner('job', id, ['e2', 'e3']) === next;
    if (isWanted) return id;
  }
}

function story(system: SimulatedSystem, id: string): string[] {
  return system.events.flatMap((event) => {
    if (event.id !== id) return [];
    if (event.kind === 'started') return ['started'];
    return event.kind === 'answered' ? [event.outcome] : [];
  });
}

test('a lost owner’s job that a leaving entry would own is continued by the next owner', async () => {
  const system = await started();
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
  expect(story(system, id)).toEqual(['started', 'completed', 'completed']);
});

test('a sidecar that is lost after it told what a lost owner had started there leaves no doubt', async () => {
  const system = await started();
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
  expect(story(system, id)).toEqual(['started', 'completed']);
});

test('an entry that comes later learns from a former owner what lost sidecars had told', async () => {
  const system = await started();
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
  const outcomes = ids.map((id) => story(system, id).join(' '));
  expect([...new Set(outcomes)]).toEqual(['started completed']);
});
