import { expect, test } from 'vitest';
import DemandUpdates from '../../src/batches/DemandUpdates';
import type BacklogHead from '../../src/batches/BacklogHead';
import Resources from '../../src/room/Resources';

const needs = Resources.of({ cpuMilli: 1_000 });

function headOf(rank: number, slackMs: number): BacklogHead {
  return { needs, urgency: { rank, slackMs } };
}

/** Sends a head at 0 ms; returns whether another one is sent on its own at the given time. */
function isSentAfter(first: BacklogHead, second: BacklogHead | undefined, atMs: number): boolean {
  const updates = DemandUpdates.create();
  updates.next(first, false, 0);
  return updates.next(second, false, atMs) !== undefined;
}

test('the first head and the end of demand are sent immediately', () => {
  const updates = DemandUpdates.create();
  const first = updates.next(headOf(1, 50), false, 0);
  const none = updates.next(undefined, false, 1);
  expect([first?.waiting, none?.waiting, updates.hasDemand]).toEqual([true, false, false]);
});

test('a more urgent head is sent soon, a less urgent one later', () => {
  const urgent = [19, 20].map((atMs) => isSentAfter(headOf(5, 50), headOf(1, 50), atMs));
  const relaxed = [39, 40].map((atMs) => isSentAfter(headOf(1, 50), headOf(5, 50), atMs));
  expect([urgent, relaxed]).toEqual([
    [false, true],
    [false, true],
  ]);
});

test('a head that has to start at about the same time is not sent', () => {
  const slack = [-41, -40, 40, 41].map((byMs) =>
    isSentAfter(headOf(1, 500), headOf(1, 400 + byMs), 100),
  );
  expect(slack).toEqual([true, false, false, true]);
});

test('with a start request the head is always sent while tasks are waiting', () => {
  const updates = DemandUpdates.create();
  const nothing = updates.next(undefined, true, 0);
  updates.next(headOf(1, 50), false, 1);
  expect([nothing, updates.next(headOf(1, 49), true, 2)?.slackMs]).toEqual([undefined, 49]);
});
