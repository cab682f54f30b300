import { expect, it } from 'vitest';
import DispatcherCase from '../support/DispatcherCase';

it('reports to sidecars how long tasks of their services have waited, without teams', async () => {
  const run = DispatcherCase.create();
  run.enqueue('j', { count: 2 });
  run.enqueue('k', { service: 'other' });
  await run.timer.advance(250);
  const waits = run.dispatcher.oldestWaits(['booking', 'idle']);
  expect(waits).toMatchObject([{ service: 'booking', oldestWaitMs: 250, teams: [] }]);
});

it('reports only teams with running tasks to other entries', () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.grant('x', 2);
  run.enqueue('j', { team: 'web' });
  run.enqueue('k', { team: 'partners' });
  run.reportDone('x', 'j');
  expect(run.dispatcher.serviceLoads()[0]?.teams).toMatchObject([{ team: 'partners', running: 1 }]);
});
