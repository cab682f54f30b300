import { expect, test } from 'vitest';
import EntrySelector from '../../src/peering/EntrySelector';

const entries = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `10.0.0.${number + 1}:7000`);

test('a few entries are all linked', () => {
  expect(EntrySelector.of('s').select(entries(4)).size).toBe(4);
});

test('of many entries each sidecar links to four', () => {
  expect(EntrySelector.of('s').select(entries(48)).size).toBe(4);
});

test('entries have about equal shares of the sidecars', () => {
  const shares = new Map<string, number>();
  for (let number = 0; number < 120; number += 1) {
    const chosen = EntrySelector.of(`side-${number}`).select(entries(12));
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
  const choice = EntrySelector.of('s');
  const [lost] = choice.select(entries(12));
  const before = choice.select(entries(12));
  const isNews = choice.recordDial(lost!, false);
  const after = choice.select(entries(12));
  const kept = [...before].filter((address) => after.has(address)).length;
  expect([isNews, kept, after.size]).toEqual([true, 4, 5]);
});

test('once the entry is reached again the replacement is not wanted any more', () => {
  const choice = EntrySelector.of('s');
  const before = choice.select(entries(12));
  const [lost] = before;
  choice.recordDial(lost!, false);
  choice.recordDial(lost!, true);
  expect(choice.select(entries(12))).toEqual(before);
});
