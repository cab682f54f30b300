import { expect, it } from 'vitest';
import FrameQueue from '../../src/link/FrameQueue';
import StreamLink from '../../src/link/StreamLink';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import never from '../support/never';

function caseOf(next: () => Promise<never>) {
  const timer = ManualTimer.create();
  const told: string[] = [];
  const link = StreamLink.open({
    timer,
    peer: NetworkCase.hello('far'),
    incoming: { next },
    outgoing: FrameQueue.create(() => undefined),
    reset: () => told.push(`${timer.now()} reset`),
  });
  link.closed.addEventListener('abort', () => told.push(`${timer.now()} closed`));
  return { timer, link, told };
}

it('resets a stream whose peer takes no part in its end', async () => {
  const { timer, link, told } = caseOf(never);
  link.close();
  await timer.advance(60_000);
  expect(told).toEqual(['0 closed', '1000 reset']);
});

it('closes when the stream fails, and tells why', async () => {
  const { timer, link, told } = caseOf(() => Promise.reject(new Error('fault')));
  await timer.advance(60_000);
  expect(told).toEqual(['0 closed']);
  expect(link.failure).toBe('fault');
});

it('tells that a link was given up since its peer was silent', async () => {
  const { timer, link, told } = caseOf(never);
  link.close(true);
  await timer.advance(60_000);
  expect(told).toEqual(['0 closed', '0 reset']);
  expect(link.failure).toBe('the peer is silent');
});
