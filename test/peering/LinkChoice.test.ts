import { expect, test } from 'vitest';
import LinkChoice from '../../src/peering/LinkChoice';

const entries = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `10.0.0.${number + 1}:7000`);

test('a few entries are all linked', () => {
  expect(LinkChoice.of('s').from(entries(4)).size).toBe(4);
});

test('of many entries each sidecar links to four', () => {
  expect(LinkChoice.of('s').from(entries(48)).size).toBe(4);
});

test('entries have about equal shares of the sidecars', () => {
  const shares = new Map<string, number>();
  for (let number = 0; number < 120; number += 1) {
    const chosen = LinkChoice.of(`side-${number}`).from(entries(12));
    chosen.forEach((address) => shares.set(address, (shares.get(address) ?? 0) + 1));
  }
  const counts = [...shares.values()].sort((a, b) => a - b);
  expect([counts.length, counts[0], counts.at(-1)]).toMatchInlineSnapshot(`
    [
      12,
      32,
      51,
    ]
  `);
});

test('an entry that cannot be reached is replaced by the next and still tried', () => {
  const choice = LinkChoice.of('s');
  const [lost] = choice.from(entries(12));
  const before = choice.from(entries(12));
  const isNews = choice.dialled(lost!, false);
  const after = choice.from(entries(12));
  const kept = [...before].filter((address) => after.has(address)).length;
  expect([isNews, kept, after.size]).toEqual([true, 4, 5]);
});

test('once the entry is reached again the replacement is not wanted any more', () => {
  const choice = LinkChoice.of('s');
  const before = choice.from(entries(12));
  const [lost] = before;
  choice.dialled(lost!, false);
  choice.dialled(lost!, true);
  expect(choice.from(entries(12))).toEqual(before);
});
