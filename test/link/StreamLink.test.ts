import { expect, it } from 'vitest';
import FrameQueue from '../../src/link/FrameQueue';
import StreamLink from '../../src/link/StreamLink';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import never from '../support/never';

function openStreamLink(next: () => Promise<never>) {
  const timer = ManualTimer.create();
  const events: string[] = [];
  const link = StreamLink.open({
    timer,
    peer: NetworkCase.hello('far'),
    incoming: { next },
    outgoing: FrameQueue.create(() => undefined),
    reset: () => events.push(`${timer.now()} reset`),
  });
  link.closed.addEventListener('abort', () => events.push(`${timer.now()} closed`));
  return { timer, link, events };
}

it('resets the stream if the peer does not end it', async () => {
  const { timer, link, events } = openStreamLink(never);
  link.close();
  await timer.advance(60_000);
  expect(events).toEqual(['0 closed', '1000 reset']);
});

it('closes when the stream fails, and records the failure', async () => {
  const { timer, link, events } = openStreamLink(() => Promise.reject(new Error('fault')));
  await timer.advance(60_000);
  expect(events).toEqual(['0 closed']);
  expect(link.failure).toBe('fault');
});

it('records that a link was closed because its peer was unresponsive', async () => {
  const { timer, link, events } = openStreamLink(never);
  link.close(true);
  await timer.advance(60_000);
  expect(events).toEqual(['0 closed', '0 reset']);
  expect(link.failure).toBe('the peer is silent');
});
