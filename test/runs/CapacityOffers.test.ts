import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { AmountSchema, DemandSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Resources from '../../src/room/Resources';
import type EntryLink from '../../src/runs/EntryLink';
import CapacityOffers from '../../src/runs/CapacityOffers';
import ManualTimer from '../support/ManualTimer';

const first = { name: 'first' } as unknown as EntryLink;
const second = { name: 'second' } as unknown as EntryLink;
const room = Resources.of({ cpuMilli: 8_000, memoryMb: 64 });

function turns() {
  const timer = ManualTimer.create();
  const all = CapacityOffers.create(timer);
  const wish = (owner: EntryLink, rank: number, slackMs: number, cpuMilli = 4_000): void =>
    all.setDemand(
      owner,
      create(DemandSchema, {
        ...{ waiting: true, rank, slackMs },
        needs: create(AmountSchema, { cpuMilli }),
      }),
    );
  return { timer, all, wish };
}

test('while no entry has demand, anybody may use the free capacity', () => {
  expect(turns().all.assign(room)).toBe('anybody');
});

test('a lower rank goes first, whatever the slack', () => {
  const { all, wish } = turns();
  wish(first, 4, 10);
  wish(second, 1, 900);
  expect(all.assign(room)).toBe(second);
});

test('among equal ranks the earliest start time goes first, counted from when the demand arrived', async () => {
  const { all, wish, timer } = turns();
  wish(first, 1, 100);
  await timer.advance(50);
  wish(second, 1, 60);
  expect(all.assign(room)).toBe(first);
});

test('an offer stays open until it is used', () => {
  const { all, wish } = turns();
  wish(first, 1, 50);
  const offered = all.assign(room);
  wish(second, 0, 10);
  const standing = all.assign(room);
  all.consumeOffer(first);
  expect([offered, standing, all.assign(room)]).toEqual([first, first, second]);
});

test('an offer that expires unused goes to the next entry', async () => {
  const { all, wish, timer } = turns();
  wish(first, 1, 50);
  wish(second, 1, 500);
  all.assign(room);
  await timer.advance(8);
  expect(all.assign(room)).toBe(second);
});

test('an entry without demand loses its offer', () => {
  const { all, wish } = turns();
  wish(first, 1, 50);
  wish(second, 1, 500);
  all.assign(room);
  all.setDemand(first, create(DemandSchema));
  expect(all.assign(room)).toBe(second);
});

test('capacity that is too small for each waiting entry is offered to nobody', () => {
  const { all, wish } = turns();
  wish(first, 1, 50, 9_000);
  expect(all.assign(room)).toBe('nobody');
});

test('a smaller demand goes first when the most urgent one does not fit', () => {
  const { all, wish } = turns();
  wish(first, 0, 50, 9_000);
  wish(second, 5, 900);
  expect(all.assign(room)).toBe(second);
});
