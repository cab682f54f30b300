import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { BorrowSchema, LendSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import DispatcherCase from '../support/DispatcherCase';

function reportLoads(fixture: DispatcherCase, idle: Record<string, number>): void {
  Object.entries(idle).forEach(([entry, count]) =>
    fixture.dispatcher.entryLoads.update(entry, [{ service: 'booking', idle: count } as never]),
  );
}

function lend(fixture: DispatcherCase, entry: string, slots: number[], sidecar = 'x'): void {
  const credits = slots.map((slot) => ({ sidecar, credit: { slot, generation: 1 } }));
  fixture.dispatcher.handleLend(entry, create(LendSchema, { service: 'booking', credits }));
}

it('asks the entry with the most idle credits first, then the others, each once', async () => {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  reportLoads(fixture, { b: 0, c: 4 });
  fixture.enqueue('j', { count: 2 });
  lend(fixture, 'c', []);
  lend(fixture, 'b', []);
  fixture.dispatcher.dispatchQueued();
  const atOnce = fixture.takeLog();
  await fixture.timer.advance(1000);
  fixture.dispatcher.dispatchQueued();
  expect({ atOnce, aSecondLater: fixture.takeLog() }).toMatchInlineSnapshot(`
    {
      "aSecondLater": "b: borrow 2",
      "atOnce": "c: borrow 1
    b: borrow 2",
    }
  `);
});

it('serves a pending borrow request as soon as a credit is idle', async () => {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  reportLoads(fixture, { b: 0 });
  const borrow = create(BorrowSchema, { service: 'booking', wanted: 3 });
  const answered = fixture.dispatcher.handleBorrow('b', borrow).credits.length;
  fixture.grant('x', 4);
  const lent = fixture.takeLog();
  fixture.grant('x', 4);
  expect({ answered, lent, later: fixture.takeLog() }).toMatchInlineSnapshot(`
    {
      "answered": 0,
      "later": "",
      "lent": "b: lend 2",
    }
  `);
});

it('drops a borrow request that has been pending for too long', async () => {
  const fixture = DispatcherCase.create();
  fixture.openLinks('x');
  fixture.dispatcher.handleBorrow('b', create(BorrowSchema, { service: 'booking', wanted: 1 }));
  await fixture.timer.advance(1000);
  fixture.grant('x', 1);
  expect(fixture.takeLog()).toBe('');
});

it('keeps the credits when the borrowing entry is unreachable', () => {
  const fixture = DispatcherCase.create({ sendToEntry: () => false });
  fixture.openLinks('x');
  fixture.dispatcher.handleBorrow('b', create(BorrowSchema, { service: 'booking', wanted: 1 }));
  fixture.grant('x', 1);
  fixture.enqueue('j');
  expect(fixture.takeLog()).toBe('x: start j/0');
});
