import { expect, test } from 'vitest';
import DemandUpdates from '../../src/batches/DemandUpdates';
import type BacklogHead from '../../src/batches/BacklogHead';
import Resources from '../../src/room/Resources';

const needs = Resources.of({ cpuMilli: 1_000 });

function headOf(rank: number, slackMs: number): BacklogHead {
  return { needs, urgency: { rank, slackMs } };
}

/** Tells of a head at 0 ms; then whether another is told by itself at a time. */
function toldAfter(first: BacklogHead, second: BacklogHead | undefined, atMs: number): boolean {
  const news = DemandUpdates.create();
  news.next(first, false, 0);
  return news.next(second, false, atMs) !== undefined;
}

test('the first head is told at once, and that nothing waits any more', () => {
  const news = DemandUpdates.create();
  const first = news.next(headOf(1, 50), false, 0);
  const none = news.next(undefined, false, 1);
  expect([first?.waiting, none?.waiting, news.hasDemand]).toEqual([true, false, false]);
});

test('a more urgent head is told soon, a less urgent one later', () => {
  const urgent = [19, 20].map((atMs) => toldAfter(headOf(5, 50), headOf(1, 50), atMs));
  const relaxed = [39, 40].map((atMs) => toldAfter(headOf(1, 50), headOf(5, 50), atMs));
  expect([urgent, relaxed]).toEqual([
    [false, true],
    [false, true],
  ]);
});

test('a head that has to start at about the same time is no news', () => {
  const slack = [-41, -40, 40, 41].map((byMs) =>
    toldAfter(headOf(1, 500), headOf(1, 400 + byMs), 100),
  );
  expect(slack).toEqual([true, false, false, true]);
});

test('with an order the head is always told, while something waits', () => {
  const news = DemandUpdates.create();
  const quiet = news.next(undefined, true, 0);
  news.next(headOf(1, 50), false, 1);
  expect([quiet, news.next(headOf(1, 49), true, 2)?.slackMs]).toEqual([undefined, 49]);
});
