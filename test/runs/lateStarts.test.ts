import { expect, test } from 'vitest';
import RunCase from '../support/RunCase';

/** An order whose five starts get no answer and are carried out a second later. */
async function withLateStarts() {
  const { runCase, backend } = await RunCase.open();
  for (let i = 0; i < 5; i += 1) backend.fail({ call: 'start', how: 'late', lateMs: 1_000 });
  runCase.order('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  return { runCase, backend };
}

test('a task that would start late, after its job was cancelled, does not start', async () => {
  const { runCase, backend } = await withLateStarts();
  runCase.host.stop(runCase.owner);
  await runCase.timer.advance(2_000);
  expect([runCase.ends, backend.starts]).toEqual([['a.0 LOST'], []]);
});

const stranger = { batch: 'x', step: 0, index: 0, attempt: 1 };

/** The fencing token of the sidecar that is there now: its backend server's clock at the first heartbeat. */
const TOKEN = 50_000;

test('a start of a sidecar that was here before is refused when it is carried out late', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.order('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  await backend.start(stranger, '5000', backend.report().clockMs + 500, TOKEN - 1, 100);
  expect(backend.tasks).toEqual(['a.0.0']);
});

test('a task that starts late and that nobody waits for is stopped soon', async () => {
  const { runCase, backend } = await RunCase.open();
  runCase.order('a', 1, { spec: '5000' });
  await runCase.timer.advance(10);
  await backend.start(stranger, '5000', backend.report().clockMs + 100, TOKEN, 100);
  const started = backend.tasks;
  await runCase.timer.advance(300);
  expect([started, backend.tasks]).toEqual([['a.0.0', 'x.0.0'], ['a.0.0']]);
});

test('a task that starts late at an idle backend server ends with the lease it was sent with', async () => {
  const { runCase, backend } = await RunCase.open();
  await backend.start(stranger, '5000', backend.report().clockMs + 100, TOKEN, 100);
  await runCase.timer.advance(200);
  expect(backend.tasks).toEqual([]);
});
