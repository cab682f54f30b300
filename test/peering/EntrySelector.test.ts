import { expect, test } from 'vitest';
import EntrySelector from '../../src/peering/EntrySelector';

const entries = (count: number): string[] =>
  Array.from({ length: count }, (_, number) => `10.0.0.${number + 1}:7000`);

test('a sidecar links to all entries if there are at most four', () => {
  expect(EntrySelector.of('s').select(entries(4)).size).toBe(4);
});

test('a sidecar links to four of many entries', () => {
  expect(EntrySelector.of('s').select(entries(48)).size).toBe(4);
});

test('the sidecars are spread about evenly over the entries', () => {
  const shares = new Map<string, number>();
  for (let number = 0; number < 120; number += 1) {
    const selected = EntrySelector.of(`side-${number}`).select(entries(12));
    selected.forEach((address) => shares.set(address, (shares.get(address) ?? 0) + 1));
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

test('an unreachable entry is replaced by the next and still dialled', () => {
  const selector = EntrySelector.of('s');
  const [unreachable] = selector.select(entries(12));
  const before = selector.select(entries(12));
  const isChanged = selector.recordDial(unreachable!, false);
  const after = selector.select(entries(12));
  const keptCount = [...before].filter((address) => after.has(address)).length;
  expect([isChanged, keptCount, after.size]).toEqual([true, 4, 5]);
});

test('the replacement is no longer selected once the entry is reachable again', () => {
  const selector = EntrySelector.of('s');
  const before = selector.select(entries(12));
  const [unreachable] = before;
  selector.recordDial(unreachable!, false);
  selector.recordDial(unreachable!, true);
  expect(selector.select(entries(12))).toEqual(before);
});
