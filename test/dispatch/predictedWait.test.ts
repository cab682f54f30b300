import { expect, it } from 'vitest';
import DispatcherCase from '../support/DispatcherCase';

async function startBacklog(): Promise<DispatcherCase> {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.enqueue('j', { count: 300 });
  for (let at = 0; at < 200; at += 1) {
    run.grant('x', 1);
    await run.timer.advance(10);
  }
  return run;
}

it('predicts the wait of a team from the tasks ahead and the average start interval', async () => {
  const run = await startBacklog();
  const wait = (team: string) => Math.round(run.dispatcher.predictedWaitMs('booking', team));
  expect({ sameTeam: wait('web'), otherTeam: wait('other') }).toMatchInlineSnapshot(`
    {
      "otherTeam": 10,
      "sameTeam": 1000,
    }
  `);
});

it('predicts no wait without a queue', () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.grant('x', 1);
  run.enqueue('j');
  expect(run.dispatcher.predictedWaitMs('booking', 'web')).toBe(0);
});
