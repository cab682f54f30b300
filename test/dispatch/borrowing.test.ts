import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { BorrowSchema, LendSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import DispatcherCase from '../support/DispatcherCase';

function reportLoads(run: DispatcherCase, idle: Record<string, number>): void {
  Object.entries(idle).forEach(([entry, count]) =>
    run.dispatcher.entryLoads.update(entry, [{ service: 'booking', idle: count } as never]),
  );
}

function lend(run: DispatcherCase, entry: string, slots: number[], sidecar = 'x'): void {
  const credits = slots.map((slot) => ({ sidecar, credit: { slot, generation: 1 } }));
  run.dispatcher.handleLend(entry, create(LendSchema, { service: 'booking', credits }));
}

it('asks the entry with the most idle credits first, then the others, each once', async () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  reportLoads(run, { b: 0, c: 4 });
  run.enqueue('j', { count: 2 });
  lend(run, 'c', []);
  lend(run, 'b', []);
  run.dispatcher.dispatchQueued();
  const atOnce = run.takeLog();
  await run.timer.advance(1000);
  run.dispatcher.dispatchQueued();
  expect({ atOnce, aSecondLater: run.takeLog() }).toMatchInlineSnapshot(`
    {
      "aSecondLater": "b: borrow 2",
      "atOnce": "c: borrow 1
    b: borrow 2",
    }
  `);
});

it('serves a pending borrow request as soon as a credit is idle', async () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  reportLoads(run, { b: 0 });
  const borrow = create(BorrowSchema, { service: 'booking', wanted: 3 });
  const answered = run.dispatcher.handleBorrow('b', borrow).credits.length;
  run.grant('x', 4);
  const lent = run.takeLog();
  run.grant('x', 4);
  expect({ answered, lent, later: run.takeLog() }).toMatchInlineSnapshot(`
    {
      "answered": 0,
      "later": "",
      "lent": "b: lend 2",
    }
  `);
});

it('drops a borrow request that has been pending for too long', async () => {
  const run = DispatcherCase.create();
  run.openLinks('x');
  run.dispatcher.handleBorrow('b', create(BorrowSchema, { service: 'booking', wanted: 1 }));
  await run.timer.advance(1000);
  run.grant('x', 1);
  expect(run.takeLog()).toBe('');
});

it('keeps the credits when the borrowing entry is unreachable', () => {
  const run = DispatcherCase.create({ sendToEntry: () => false });
  run.openLinks('x');
  run.dispatcher.handleBorrow('b', create(BorrowSchema, { service: 'booking', wanted: 1 }));
  run.grant('x', 1);
  run.enqueue('j');
  expect(run.takeLog()).toBe('x: start j/0');
});
