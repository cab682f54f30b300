import { expect, test, vi } from 'vitest';
import type Fault from '../../tools/soak/Fault';
import runSoak from '../../tools/soak/runSoak';

// Building, starting and the last jobs take seconds on a busy machine.
vi.setConfig({ testTimeout: 60_000 });

const faults: readonly Fault[] = [
  { kind: 'flood', atMs: 100, forMs: 2_500, target: 'entry-1' },
  { kind: 'silence', atMs: 200, forMs: 2_800, target: 'entry-1', endsByReset: true },
  { kind: 'kill', atMs: 500, forMs: 400, target: 'sidecar-1' },
  { kind: 'store-down', atMs: 700, forMs: 1_000, target: 'entry-1' },
  { kind: 'pause', atMs: 800, forMs: 600, target: 'sidecar-2' },
  { kind: 'stop', atMs: 1_000, forMs: 300, target: 'entry-2' },
  { kind: 'reload', atMs: 1_100, forMs: 100, target: 'entry-1' },
  { kind: 'crash', atMs: 1_200, forMs: 500, target: 'sidecar-3' },
  { kind: 'restart', atMs: 1_300, forMs: 200, target: 'sidecar-1' },
  { kind: 'cut', atMs: 1_500, forMs: 1_000, target: 'entry-1', from: 'sidecar-2' },
  { kind: 'kill', atMs: 2_600, forMs: 300, target: 'entry-1' },
];

test('real processes keep their guarantees under external faults', async () => {
  const size = { entries: 2, sidecars: 3, callers: 6 };
  const { findings, counts } = await runSoak({ ...size, seed: 5, seconds: 4, faults });
  expect(findings).toEqual([]);
  expect(counts['starts of processes']).toBe(size.entries + size.sidecars + 3);
});

test('a job that is sent to two entries at once runs once', async () => {
  const size = { entries: 5, sidecars: 8, callers: 6 };
  const unusual = { ways: ['abandon', 'hedge', 'duplicate'], oneIn: 1 } as const;
  const { findings } = await runSoak({ ...size, unusual, seed: 1, seconds: 3, faults: [] });
  expect(findings).toEqual([]);
});

// Each run ends with copies of the cancelled jobs at all entries, after all open connections have gone silent.
test('cancelled jobs stay cancelled when all entries are restarted in turn', async () => {
  const restarts = ([1, 2, 3] as const).map((number): Fault => ({
    kind: 'stop',
    atMs: number * 900,
    forMs: 300,
    target: `entry-${number}`,
  }));
  const size = { entries: 3, sidecars: 3, callers: 6 };
  const unusual = { ways: ['cancelled'], oneIn: 1 } as const;
  const options = { ...size, unusual, seed: 1, seconds: 4, faults: restarts };
  const { findings, counts } = await runSoak(options);
  expect(findings).toEqual([]);
  expect(counts['cancelled jobs']).toBeGreaterThan(0);
});
