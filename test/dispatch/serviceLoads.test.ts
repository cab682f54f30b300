import { expect, it } from 'vitest';
import DispatcherCase from '../support/DispatcherCase';

it('reports to sidecars how long tasks of their services have waited, without teams', async () => {
  const fixture = DispatcherCase.create();
  fixture.enqueue('j', { count: 2 });
  fixture.enqueue('k', { service: 'other' });
  await fixture.timer.advance(250);
  const waits = fixture.dispatcher.oldestWaits(['booking', 'idle']);
  expect(waits).toMatchObject([{ service: 'booking', oldestWaitMs: 250, teams: [] }]);
});

it('reports only teams with running tasks to other entries', () => {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  fixture.grant('x', 2);
  fixture.enqueue('j', { team: 'web' });
  fixture.enqueue('k', { team: 'partners' });
  fixture.reportDone('x', 'j');
  expect(fixture.dispatcher.serviceLoads()[0]?.teams).toMatchObject([
    { team: 'partners', running: 1 },
  ]);
});
