import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { AmountSchema, GrantSchema, RoomSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import FrameQueue from '../../src/link/FrameQueue';

function openQueue(maxBytes?: number) {
  const events: string[] = [];
  const queue = FrameQueue.create(() => events.push('overflow'), maxBytes);
  const send = (...services: string[]) =>
    services.forEach((service) =>
      queue.send({ case: 'grant', value: create(GrantSchema, { service }) }),
    );
  const read = async () => {
    for await (const frame of queue.frames()) {
      events.push(
        frame.messages.map(({ kind }) => (kind.value as { service: string }).service).join(),
      );
      if (events.length === 1) send('c', 'd');
      else queue.end();
    }
  };
  return { queue, send, read, events };
}

it('sends one frame per turn of the event loop', async () => {
  const { send, read, events } = openQueue();
  send('a', 'b');
  await read();
  expect(events).toEqual(['a,b', 'c,d']);
});

it('splits frames that would get too large', async () => {
  const { queue, send, read, events } = openQueue();
  send('x'.repeat(5 * 1024 * 1024), 'y');
  queue.end();
  await read();
  expect(events.map((services) => services.length)).toEqual([5 * 1024 * 1024, 1]);
});

it('overflows once and sends nothing afterwards', async () => {
  const { send, read, events } = openQueue(100);
  send('a', 'x'.repeat(100), 'c');
  await read();
  expect(events).toEqual(['overflow']);
});

// One message of sixteen is encoded when it is queued, to count its bytes. A message that cannot be encoded
// threw an error there into the code that sent it; in the scheduler of an entry this ended the process
// ("cannot encode field magnoliakeel.v1.Amount.cpu_milli to binary: invalid uint32: 100.5").
it('does not throw into the sender of a message that cannot be encoded', () => {
  const { queue } = openQueue();
  const total = create(AmountSchema, { cpuMilli: 100.5 });
  const value = create(RoomSchema, { total });
  expect(() => queue.send({ case: 'room', value })).not.toThrow();
});
