import { create } from '@bufbuild/protobuf';
import { expect, it } from 'vitest';
import { GrantSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
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
