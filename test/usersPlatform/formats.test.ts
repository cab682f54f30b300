import { expect, test } from 'vitest';
import readConfiguration from '../../platform/readConfiguration';
import readHeartbeat from '../../platform/readHeartbeat';
import readSubmission from '../../platform/readSubmission';
import errorOf from '../support/errorOf';
import valueOf from '../support/valueOf';

const step = { count: 2, cpu: 6200, mem_mb: 64, estimate_ms: 85.4 };

test('a job is converted to batch steps', () => {
  const steps = [
    step,
    { count: 1, after: [0], constraints: 'a', affinity: 'r1', anti_affinity: 3 },
  ];
  expect(readSubmission({ spec: 's', best_effort: true, steps })).toMatchInlineSnapshot(`
    {
      "kind": "batch",
      "spec": "s",
      "steps": [
        {
          "after": [],
          "count": 2,
          "estimateMs": 85,
          "label": "",
          "mostTogether": 0,
          "needs": Resources {
            "accelerators": 0,
            "cpuMilli": 6200,
            "memoryMb": 64,
          },
          "preferredLabel": "",
        },
        {
          "after": [
            0,
          ],
          "count": 1,
          "estimateMs": 0,
          "label": "a",
          "mostTogether": 3,
          "needs": Resources {
            "accelerators": 0,
            "cpuMilli": 0,
            "memoryMb": 0,
          },
          "preferredLabel": "r1",
        },
      ],
    }
  `);
});

test.each([
  ['not best-effort', { steps: [step] }],
  ['a gang of tasks', { best_effort: true, steps: [{ ...step, gang: true }] }],
  ['long-running', { best_effort: true, steps: [{ ...step, long_running: true }] }],
  ['repeated', { best_effort: true, repeat_count: 3, steps: [step] }],
  ['utilization only', { best_effort: true, steps: [{ ...step, utilization: true }] }],
])('a job of a kind not supported yet is refused as such: %s', (_name, job) => {
  expect(readSubmission(job).kind).toBe('unsupported');
});

test.each([
  ['not an object', 7],
  ['no steps', { best_effort: true, steps: [] }],
  ['a step without tasks', { best_effort: true, steps: [{ cpu: 1 }] }],
  ['a step that depends on itself', { best_effort: true, steps: [{ ...step, after: [0] }] }],
])('a job body is invalid: %s', (_name, job) => {
  expect(readSubmission(job).kind).toBe('invalid');
});

test('a route of the configuration becomes a queue, found by host and longest prefix', () => {
  const route = { host: 'h', service: 's', max_attempts: 2, timeout_ms: 1500, priority: 1 };
  const res = readConfiguration(
    JSON.stringify({
      version: 7,
      routes: [
        { ...route, name: 'short', prefix: '/a/' },
        { ...route, name: 'long', prefix: '/a/b/' },
      ],
      limits: { max_body_bytes: 10 },
    }),
  );
  const table = valueOf(res);
  const found = ['/a/1', '/a/b/1', '/c/1'].map((path) => table.find('H', path)?.name);
  expect([table.version, table.limits.bodyBytes, found]).toEqual([
    7,
    10,
    ['short', 'long', undefined],
  ]);
});

test('a heartbeat is converted to the internal form', () => {
  const body = {
    ...{ service: 's', addr: '10.0.0.1:8', state: 'draining', seq: 4, clock_ms: 9 },
    ...{ capacity: { cpu: 64_000, mem_mb: 1_024 }, labels: ['a', 'r1-3'] },
  };
  expect(valueOf(readHeartbeat('i-1', body))).toMatchInlineSnapshot(`
    {
      "address": "10.0.0.1:8",
      "capacity": Resources {
        "accelerators": 0,
        "cpuMilli": 64000,
        "memoryMb": 1024,
      },
      "clockMs": 9,
      "draining": true,
      "id": "i-1",
      "labels": [
        "a",
        "r1-3",
      ],
      "sequence": 4,
      "service": "s",
    }
  `);
});

const heartbeat = {
  ...{ service: 's', addr: '10.0.0.1:8', state: 'ready', seq: 4, clock_ms: 9 },
  ...{ capacity: { cpu: 64_000, mem_mb: 1_024 }, labels: ['a'] },
};

test.each([
  ['no clock', { clock_ms: undefined }, "the body: must have required property 'clock_ms'"],
  ['a string as capacity', { capacity: { cpu: '9', mem_mb: 1 } }, 'capacity.cpu: must be number'],
  ['an unknown state', { state: 'open' }, 'state: must be equal to one of the allowed values'],
  ['no address', { addr: 'here' }, /^addr: must match pattern/],
  ['a start time that is not an integer', { born: 1.5 }, 'born: must be integer'],
  ['a service that is not a string', { service: 7 }, 'service: must be string'],
])('a heartbeat with %s is refused with the location of the error', (_name, change, reason) => {
  expect(errorOf(readHeartbeat('i-1', { ...heartbeat, ...change }))).toMatch(reason);
});

test.each([
  ['cpu', 'x', 'steps.0.cpu: must be a number of 0 or more'],
  ['estimate_ms', -1, 'steps.0.estimate_ms: must be a number of 0 or more'],
  ['after', 3, 'steps.0.after: must name earlier steps'],
  ['affinity', 5, 'steps.0.affinity: must be a text'],
])('a job whose %s is %o is invalid', (field, value, reason) => {
  const job = { best_effort: true, steps: [{ ...step, [field]: value }] };
  expect(readSubmission(job)).toEqual({ kind: 'invalid', reason });
});
