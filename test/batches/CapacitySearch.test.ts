import { expect, test } from 'vitest';
import CapacitySearch from '../../src/batches/CapacitySearch';
import type SidecarPeer from '../../src/batches/SidecarPeer';
import type BacklogHead from '../../src/batches/BacklogHead';
import Resources from '../../src/room/Resources';

interface Sidecar {
  readonly name: string;
  readonly service: string;
  readonly isUsable: boolean;
  readonly capacity: Resources;
  hasDemand: boolean;
}

const small = Resources.of({ cpuMilli: 1_000 });

function sidecars(count: number, change: Partial<Sidecar> = {}): Sidecar[] {
  const capacity = Resources.of({ cpuMilli: 8_000 });
  return Array.from({ length: count }, (_, number) => ({
    ...{ name: `s${number}`, service: 'a', isUsable: true, hasDemand: false, capacity },
    ...change,
  }));
}

/**
 * Returns a function that selects sidecars at a given time, and marks them as notified, as the
 * sidecars do themselves.
 */
function searcher(all: readonly Sidecar[]) {
  const search = CapacitySearch.create();
  return (now: number, needs: Resources | undefined = small): readonly string[] => {
    const head: BacklogHead = { needs, urgency: { rank: 0, slackMs: 0 } };
    const heads = new Map(needs === Resources.none ? [] : [['a', head]]);
    const selected = search.select(all as unknown as readonly SidecarPeer[], heads, now);
    all.forEach((sidecar) => {
      sidecar.hasDemand = selected.has(sidecar as unknown as SidecarPeer);
    });
    return all.filter(({ hasDemand }) => hasDemand).map(({ name }) => name);
  };
}

test('more sidecars are notified the longer the backlog lasts, including the earlier ones', () => {
  const select = searcher(sidecars(20));
  const counts = [0, 39, 40, 80, 400].map((now) => select(now).length);
  expect(counts).toEqual([4, 4, 8, 16, 20]);
});

test('the next backlog starts with other sidecars', () => {
  const select = searcher(sidecars(9));
  const first = select(0);
  const none = select(10, Resources.none);
  expect([first, none, select(20), select(30, Resources.none), select(40)]).toEqual([
    ['s0', 's1', 's2', 's3'],
    [],
    ['s4', 's5', 's6', 's7'],
    [],
    ['s0', 's1', 's2', 's8'],
  ]);
});

test('only sidecars that could ever run the waiting task are notified', () => {
  const large = Resources.of({ cpuMilli: 9_000 });
  const unfit = [...sidecars(3, { service: 'b' }), ...sidecars(3, { isUsable: false })];
  expect([searcher(unfit)(0), searcher(sidecars(3))(0, large)]).toEqual([[], []]);
});
