import { create, toBinary } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import readHeartbeat from '../../platform/readHeartbeat';
import readSubmission from '../../platform/readSubmission';
import DurationModel from '../../src/batches/DurationModel';
import { RunOrderSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import Resources from '../../src/room/Resources';
import toAmount from '../../src/room/toAmount';

// A job whose step asked for 100.5 thousandths of a core was accepted. No order with that number can be
// written to a link ("cannot encode field Amount.cpu_milli to binary: invalid uint32: 100.5"): the link to
// the sidecar ended with all runs ordered over it, the next link got the same order, some 13 times a
// second until the caller's time was over, and jobs of other callers got no result. One order of sixteen
// is encoded where it is queued, to count its bytes, and there the error ended the entry.
const step = { count: 1, cpu: 100, mem_mb: 10, estimate_ms: 20 };

/** What becomes of jobs of one step with a change each: the orders of it, or why there are none. */
function read(...changes: object[]): string[] {
  return changes.map((change) => {
    const job = readSubmission({ best_effort: true, steps: [{ ...step, ...change }] });
    if (job.kind !== 'batch') return `${job.kind}: ${job.reason}`;
    const [{ needs, estimateMs, mostTogether }] = job.steps as [(typeof job.steps)[0]];
    const order = create(RunOrderSchema, { needs: toAmount(needs), estimateMs, mostTogether });
    toBinary(RunOrderSchema, order);
    return [needs.cpuMilli, needs.memoryMb, estimateMs, mostTogether].join();
  });
}

test('a job whose amounts no message can carry is refused', () => {
  const changes = [{ cpu: 2 ** 32 }, { mem_mb: 1e300 }, { gpu: 2 ** 53 }, { estimate_ms: 1e10 }];
  expect(read(...changes, { anti_affinity: 2 ** 32 }, { anti_affinity: 1.5 })).toEqual([
    'invalid: steps.0.cpu: must be at most 4294967295',
    'invalid: steps.0.mem_mb: must be at most 4294967295',
    'invalid: steps.0.gpu: must be at most 4294967295',
    'invalid: steps.0.estimate_ms: must be at most 86400000',
    'invalid: steps.0.anti_affinity: must be at most 4294967295',
    'invalid: steps.0.anti_affinity: must be a whole number',
  ]);
});

test('the longest estimate is carried also where the queue was learned to be slow', () => {
  const model = DurationModel.create();
  for (let done = 0; done < 500; done += 1) model.learn('q', 100, 100_000);
  const expected = model.predict('q', 86_400_000);
  const order = create(RunOrderSchema, { estimateMs: expected });
  expect([expected > 86_400_000, toBinary(RunOrderSchema, order).length > 0]).toEqual([true, true]);
});

test('a part of a unit that a task needs counts as a whole one', () => {
  const changes = [{ cpu: 100.5 }, { mem_mb: 0.1 }, { estimate_ms: 19.5 }];
  expect(read(...changes)).toEqual(['101,10,20,0', '100,1,20,0', '100,10,20,0']);
});

// A job of a million tasks kept the entry from everything else for 10.3 s ("this process was held up"), so
// that it gave up all its open batches; one of 10^12 tasks threw where its tasks were laid out.
test('a job of more tasks than an entry can look after is refused', () => {
  expect(read({ count: 3_201 }, { count: 1e12 })).toEqual([
    'invalid: steps: more than 3200 tasks in all',
    'invalid: steps: more than 3200 tasks in all',
  ]);
});

// What a backend server has is told to every entry: a number that no message can carry ended each link as
// often as it was dialled again.
test('a heartbeat tells whole numbers that a message can carry', () => {
  const heard = (capacity: object) =>
    readHeartbeat('i-1', {
      ...{ service: 's', addr: '10.0.0.1:8', state: 'ready', seq: 4, clock_ms: 9 },
      capacity,
    }).match(
      (report) => report.capacity,
      (reason) => reason,
    );
  expect([heard({ cpu: 16_000.5, mem_mb: 9.9 }), heard({ cpu: 1, mem_mb: 2 ** 32 })]).toEqual([
    Resources.of({ cpuMilli: 16_000, memoryMb: 9 }),
    'capacity.mem_mb: must be <= 4294967295',
  ]);
});
