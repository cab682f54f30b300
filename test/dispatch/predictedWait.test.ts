import { expect, it } from 'vitest';
import DispatcherCase from '../support/DispatcherCase';

async function startBacklog(): Promise<DispatcherCase> {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  fixture.enqueue('j', { count: 300 });
  for (let at = 0; at < 200; at += 1) {
    fixture.grant('x', 1);
    await fixture.timer.advance(10);
  }
  return fixture;
}

it('predicts the wait of a team from the tasks ahead and the average start interval', async () => {
  const fixture = await startBacklog();
  const wait = (team: string) => Math.round(fixture.dispatcher.predictedWaitMs('booking', team));
  expect({ sameTeam: wait('web'), otherTeam: wait('other') }).toMatchInlineSnapshot(`
    {
      "otherTeam": 10,
      "sameTeam": 1000,
    }
  `);
});

it('predicts no wait without a queue', () => {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  fixture.grant('x', 1);
  fixture.enqueue('j');
  expect(fixture.dispatcher.predictedWaitMs('booking', 'web')).toBe(0);
});
