import { afterEach, expect, test } from 'vitest';
import SimulatedSystem from '../support/SimulatedSystem';

// A job was cancelled, its owner was killed, and the same submission ran at the next owner: only the owner knew of the
// cancellation, and sidecars can tell only what was started.

const systems: SimulatedSystem[] = [];

afterEach(() => systems.splice(0).forEach((system) => system.stop()));

/** Starts four entries, and has a job of four tasks cancelled while it waits for slots; returns its owner and id. */
async function cancelWaitingJob() {
  const system = await SimulatedSystem.start(4);
  systems.push(system);
  const id = 'job-1';
  const owner = system.owner('job', id);
  const via = ['e1', 'e2', 'e3', 'e4'].find((name) => name !== owner)!;
  ['a', 'b', 'c'].forEach((name) =>
    system.call({ id: name, kind: 'job', tasks: [3000, 3000, 3000, 3000], via }),
  );
  await system.timer.advance(100);
  const call = { id, kind: 'job', tasks: [50, 50, 50, 50], once: true } as const;
  system.call({ ...call, via });
  await system.timer.advance(100);
  system.call({ ...call, via, action: 'cancel' });
  await system.timer.advance(300);
  return { system, owner, call };
}

/** What becomes of the job when it is submitted again, at an entry that lives. */
async function submitAgain(
  system: SimulatedSystem,
  call: Awaited<ReturnType<typeof cancelWaitingJob>>['call'],
): Promise<readonly string[]> {
  const via = [...system.entries].find(([, { process }]) => process.isAlive)![0];
  const before = system.events.length;
  system.call({ ...call, via });
  await system.timer.advance(6_000);
  return system.events.slice(before).flatMap((event) => {
    if (event.kind === 'started') return [`started ${event.id}`];
    return event.kind === 'answered' ? [`${event.id} ${event.outcome}`] : [];
  });
}

test('a cancelled job does not run after its owner was killed', async () => {
  const { system, owner, call } = await cancelWaitingJob();
  system.kill(owner);
  await system.timer.advance(9_000);
  expect(await submitAgain(system, call)).toEqual(['job-1 cancelled']);
});

test('a cancelled job does not run after its owner was killed and started again', async () => {
  const { system, owner, call } = await cancelWaitingJob();
  system.kill(owner);
  await system.restart(owner);
  await system.timer.advance(9_000);
  expect(await submitAgain(system, call)).toEqual(['job-1 cancelled']);
});

test('a cancelled job does not run after two owners were killed one after the other', async () => {
  const { system, owner, call } = await cancelWaitingJob();
  system.kill(owner);
  await system.timer.advance(9_000);
  const others = [...system.entries.keys()].filter((name) => name !== owner);
  system.kill(system.owner('job', 'job-1', others));
  await system.timer.advance(9_000);
  expect(await submitAgain(system, call)).toEqual(['job-1 cancelled']);
});
