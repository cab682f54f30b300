import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { AmountSchema, GrantSchema, RoomSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import FrameQueue from '../../src/link/FrameQueue';

function caseOf(maxBytes?: number) {
  const seen: string[] = [];
  const queue = FrameQueue.create(() => seen.push('overflow'), maxBytes);
  const send = (...services: string[]) =>
    services.forEach((service) =>
      queue.send({ case: 'grant', value: create(GrantSchema, { service }) }),
    );
  const read = async () => {
    for await (const frame of queue.frames()) {
      seen.push(
        frame.messages.map(({ kind }) => (kind.value as { service: string }).service).join(),
      );
      if (seen.length === 1) send('c', 'd');
      else queue.end();
    }
  };
  return { queue, send, read, seen };
}

it('sends one frame a turn', async () => {
  const { send, read, seen } = caseOf();
  send('a', 'b');
  await read();
  expect(seen).toEqual(['a,b', 'c,d']);
});

it('splits frames that would grow too large', async () => {
  const { queue, send, read, seen } = caseOf();
  send('x'.repeat(5 * 1024 * 1024), 'y');
  queue.end();
  await read();
  expect(seen.map((services) => services.length)).toEqual([5 * 1024 * 1024, 1]);
});

it('overflows once and sends nothing then', async () => {
  const { send, read, seen } = caseOf(100);
  send('a', 'x'.repeat(100), 'c');
  await read();
  expect(seen).toEqual(['overflow']);
});

// The bytes of one message of sixteen are counted by encoding it where it is queued. A message that cannot
// be encoded threw there, out of whatever was sending: in the scheduler of an entry that ended the process
// ("cannot encode field magnoliakeel.v1.Amount.cpu_milli to binary: invalid uint32: 100.5").
it('takes a message that cannot be encoded without harm to its sender', () => {
  const { queue } = caseOf();
  const total = create(AmountSchema, { cpuMilli: 100.5 });
  const value = create(RoomSchema, { total });
  expect(() => queue.send({ case: 'room', value })).not.toThrow();
});
