import fc from 'fast-check';
import { expect, test } from 'vitest';
import readConfiguration from '../../platform/readConfiguration';
import readHeartbeat from '../../platform/readHeartbeat';
import readSubmission from '../../platform/readSubmission';

const heartbeat = {
  ...{ service: 's', addr: '10.0.0.1:8', state: 'ready', seq: 4, born: 5, clock_ms: 9 },
  ...{ capacity: { cpu: 64_000, mem_mb: 1_024, gpu: 0 }, labels: ['a'] },
};
const configuration = {
  version: 7,
  routes: [{ name: 'q', host: 'h', prefix: '/a/', service: 's', max_attempts: 2, priority: 1 }],
  limits: { max_body_bytes: 10 },
};
const job = { best_effort: true, spec: '', steps: [{ count: 2, cpu: 100, estimate_ms: 5 }] };

/** The value with any of its parts replaced by arbitrary values. */
function corrupted(value: unknown): fc.Arbitrary<unknown> {
  const junk = fc.oneof(fc.anything(), fc.constant(undefined));
  if (typeof value !== 'object' || value === null) {
    return fc.oneof({ weight: 4, arbitrary: fc.constant(value) }, { weight: 1, arbitrary: junk });
  }
  const container = Array.isArray(value)
    ? fc.tuple(...value.map(corrupted))
    : fc.record(
        Object.fromEntries(Object.entries(value).map(([key, part]) => [key, corrupted(part)])),
      );
  return fc.oneof({ weight: 12, arbitrary: container }, { weight: 1, arbitrary: junk });
}

const fuzzOptions = { numRuns: 2_000, seed: 7 };

test('a heartbeat with any content is refused or yields valid numbers and strings', () => {
  const property = fc.property(corrupted(heartbeat), (body) => {
    readHeartbeat('i-1', body).match(
      ({ capacity, address, clockMs, sequence, born = 0, labels }) => {
        const numbers = [
          capacity.cpuMilli,
          capacity.memoryMb,
          capacity.accelerators,
          clockMs,
          sequence,
          born,
        ];
        expect(numbers.every((number) => Number.isFinite(number) && number >= 0)).toBe(true);
        expect([address, ...labels].every((text) => typeof text === 'string')).toBe(true);
      },
      (reason) => expect(reason).toMatch(/: /),
    );
  });
  fc.assert(property, fuzzOptions);
});

test('a configuration with any content is refused or yields a queue table with a version', () => {
  const property = fc.property(corrupted(configuration), fc.string(), (body, fallback) => {
    const text = JSON.stringify(body) ?? fallback;
    readConfiguration(text).match(
      (table) => expect(table.version).toBeGreaterThan(0),
      (reason) => expect(reason).toMatch(/: /),
    );
  });
  fc.assert(property, fuzzOptions);
});

test('a job with any content is refused or yields steps with valid numbers', () => {
  const property = fc.property(corrupted(job), (body) => {
    const read = readSubmission(body);
    if (read.kind !== 'batch') return;
    const numbers = read.steps.flatMap(({ count, needs, estimateMs }) => [
      count,
      needs.cpuMilli,
      estimateMs,
    ]);
    expect(numbers.every((number) => Number.isFinite(number) && number >= 0)).toBe(true);
  });
  fc.assert(property, fuzzOptions);
});
