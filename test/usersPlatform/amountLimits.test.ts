import { create, toBinary } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import readHeartbeat from '../../platform/readHeartbeat';
import readSubmission from '../../platform/readSubmission';
import DurationModel from '../../src/batches/DurationModel';
import { RunOrderSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Resources from '../../src/room/Resources';
import toAmount from '../../src/room/toAmount';

// Guards against amounts that can't be encoded. A job with a step of 100.5 thousandths of a core was accepted,
// but its start request failed to encode ("cannot encode field Amount.cpu_milli to binary: invalid uint32:
// 100.5"). This closed the link to the sidecar, with all its runs; the next link got the same request, some 13
// times a second until the caller's time was over, and jobs of other callers got no result. One request of
// sixteen is encoded when it is queued, to count its bytes, and there the error ended the entry.
const step = { count: 1, cpu: 100, mem_mb: 10, estimate_ms: 20 };

/** Encodes the start requests of one-step jobs with one change each; returns their amounts, or why a job is refused. */
function encodeJobs(...changes: object[]): string[] {
  return changes.map((change) => {
    const job = readSubmission({ best_effort: true, steps: [{ ...step, ...change }] });
    if (job.kind !== 'batch') return `${job.kind}: ${job.reason}`;
    const [{ needs, estimateMs, mostTogether }] = job.steps as [(typeof job.steps)[0]];
    const order = create(RunOrderSchema, { needs: toAmount(needs), estimateMs, mostTogether });
    toBinary(RunOrderSchema, order);
    return [needs.cpuMilli, needs.memoryMb, estimateMs, mostTogether].join();
  });
}

test('a job with amounts that messages cannot encode is refused', () => {
  const changes = [{ cpu: 2 ** 32 }, { mem_mb: 1e300 }, { gpu: 2 ** 53 }, { estimate_ms: 1e10 }];
  expect(encodeJobs(...changes, { anti_affinity: 2 ** 32 }, { anti_affinity: 1.5 })).toEqual([
    'invalid: steps.0.cpu: must be at most 4294967295',
    'invalid: steps.0.mem_mb: must be at most 4294967295',
    'invalid: steps.0.gpu: must be at most 4294967295',
    'invalid: steps.0.estimate_ms: must be at most 86400000',
    'invalid: steps.0.anti_affinity: must be at most 4294967295',
    'invalid: steps.0.anti_affinity: must be a whole number',
  ]);
});

test('the longest estimate can be encoded even after correction for a slow queue', () => {
  const model = DurationModel.create();
  for (let done = 0; done < 500; done += 1) model.learn('q', 100, 100_000);
  const predictedMs = model.predict('q', 86_400_000);
  const order = create(RunOrderSchema, { estimateMs: predictedMs });
  expect([predictedMs > 86_400_000, toBinary(RunOrderSchema, order).length > 0]).toEqual([
    true,
    true,
  ]);
});

test('fractional needs of a task are rounded up', () => {
  const changes = [{ cpu: 100.5 }, { mem_mb: 0.1 }, { estimate_ms: 19.5 }];
  expect(encodeJobs(...changes)).toEqual(['101,10,20,0', '100,1,20,0', '100,10,20,0']);
});

// A job of a million tasks blocked the entry for 10.3 s ("this process was held up"), so that it gave up all
// its open batches; one of 10^12 tasks threw an error when its task list was created.
test('a job with more tasks than an entry can handle is refused', () => {
  expect(encodeJobs({ count: 3_201 }, { count: 1e12 })).toEqual([
    'invalid: steps: more than 3200 tasks in all',
    'invalid: steps: more than 3200 tasks in all',
  ]);
});

// The capacity of a backend server is sent to every entry: a value that messages can't encode closed each
// link again after every redial.
test('amounts in a heartbeat are rounded down, and refused if messages cannot encode them', () => {
  const capacityFrom = (capacity: object) =>
    readHeartbeat('i-1', {
      ...{ service: 's', addr: '10.0.0.1:8', state: 'ready', seq: 4, clock_ms: 9 },
      capacity,
    }).match(
      (heartbeat) => heartbeat.capacity,
      (reason) => reason,
    );
  expect([
    capacityFrom({ cpu: 16_000.5, mem_mb: 9.9 }),
    capacityFrom({ cpu: 1, mem_mb: 2 ** 32 }),
  ]).toEqual([
    Resources.of({ cpuMilli: 16_000, memoryMb: 9 }),
    'capacity.mem_mb: must be <= 4294967295',
  ]);
});
