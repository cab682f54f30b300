import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { AmountSchema, DemandSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Resources from '../../src/room/Resources';
import type EntryLink from '../../src/runs/EntryLink';
import CapacityOffers from '../../src/runs/CapacityOffers';
import ManualTimer from '../support/ManualTimer';

const first = { name: 'first' } as unknown as EntryLink;
const second = { name: 'second' } as unknown as EntryLink;
const free = Resources.of({ cpuMilli: 8_000, memoryMb: 64 });

function createOffers() {
  const timer = ManualTimer.create();
  const offers = CapacityOffers.create(timer);
  const setDemand = (entryLink: EntryLink, rank: number, slackMs: number, cpuMilli = 4_000): void =>
    offers.setDemand(
      entryLink,
      create(DemandSchema, {
        ...{ waiting: true, rank, slackMs },
        needs: create(AmountSchema, { cpuMilli }),
      }),
    );
  return { timer, offers, setDemand };
}

test('while no entry has demand, anybody may use the free capacity', () => {
  expect(createOffers().offers.assign(free)).toBe('anybody');
});

test('a lower rank goes first, whatever the slack', () => {
  const { offers, setDemand } = createOffers();
  setDemand(first, 4, 10);
  setDemand(second, 1, 900);
  expect(offers.assign(free)).toBe(second);
});

test('among equal ranks the earliest start time goes first, counted from when the demand arrived', async () => {
  const { offers, setDemand, timer } = createOffers();
  setDemand(first, 1, 100);
  await timer.advance(50);
  setDemand(second, 1, 60);
  expect(offers.assign(free)).toBe(first);
});

test('an offer stays open until it is used', () => {
  const { offers, setDemand } = createOffers();
  setDemand(first, 1, 50);
  const offered = offers.assign(free);
  setDemand(second, 0, 10);
  const stillOffered = offers.assign(free);
  offers.consumeOffer(first);
  expect([offered, stillOffered, offers.assign(free)]).toEqual([first, first, second]);
});

test('an offer that expires unused goes to the next entry', async () => {
  const { offers, setDemand, timer } = createOffers();
  setDemand(first, 1, 50);
  setDemand(second, 1, 500);
  offers.assign(free);
  await timer.advance(8);
  expect(offers.assign(free)).toBe(second);
});

test('an entry without demand loses its offer', () => {
  const { offers, setDemand } = createOffers();
  setDemand(first, 1, 50);
  setDemand(second, 1, 500);
  offers.assign(free);
  offers.setDemand(first, create(DemandSchema));
  expect(offers.assign(free)).toBe(second);
});

test('capacity that is too small for each waiting entry is offered to nobody', () => {
  const { offers, setDemand } = createOffers();
  setDemand(first, 1, 50, 9_000);
  expect(offers.assign(free)).toBe('nobody');
});

test('a smaller demand goes first when the most urgent one does not fit', () => {
  const { offers, setDemand } = createOffers();
  setDemand(first, 0, 50, 9_000);
  setDemand(second, 5, 900);
  expect(offers.assign(free)).toBe(second);
});
