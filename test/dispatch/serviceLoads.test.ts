import { expect, it } from 'vitest';
import DispatcherCase from '../support/DispatcherCase';

it('tells sidecars how long tasks of their services have waited, and nothing of teams', async () => {
  const run = DispatcherCase.create();
  run.enqueue('j', { count: 2 });
  run.enqueue('k', { service: 'other' });
  await run.timer.advance(250);
  const waits = run.dispatcher.oldestWaits(['booking', 'idle']);
  expect(waits).toMatchObject([{ service: 'booking', oldestWaitMs: 250, teams: [] }]);
});

it('tells other entries of the teams that have tasks running, and of no others', () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.grant('x', 2);
  run.enqueue('j', { team: 'web' });
  run.enqueue('k', { team: 'partners' });
  run.reportDone('x', 'j');
  expect(run.dispatcher.serviceLoads()[0]?.teams).toMatchObject([{ team: 'partners', running: 1 }]);
});
