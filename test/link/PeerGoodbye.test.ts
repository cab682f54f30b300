import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ClaimRequestSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type CallError from '../../src/link/CallError';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import never from '../support/never';
import TcpProxy from '../support/TcpProxy';
import Uncaught from '../support/Uncaught';

/** Turns of the event loop after which nothing is left to be done on loopback. */
const TURNS = 200;
const PING_INTERVAL_MS = 5000;
const PING_TIMEOUT_MS = 10_000;

describe('a peer that stops in good order before its last answer', () => {
  let far: NetworkCase;
  let proxy: TcpProxy;
  let timer: ManualTimer;
  let near: ConnectNetwork;
  let uncaught: Uncaught;
  let failure: CallError | undefined;

  // A call waits for its answer, and the peer has said that it stops.
  beforeEach(async () => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
    let arrived: () => void;
    const taken = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    far = await NetworkCase.start(NetworkCase.kinds.connect!, {
      claim: () => {
        arrived();
        return never();
      },
    });
    proxy = await TcpProxy.to(far.listener.address);
    timer = ManualTimer.create();
    near = ConnectNetwork.create(timer);
    uncaught = Uncaught.collect();
    failure = undefined;
    near.claim(proxy.address, create(ClaimRequestSchema)).mapErr((error) => {
      failure = error;
    });
    await taken;
    far.listener.close();
    await settle();
    expect(failure).toBeUndefined();
  });

  afterEach(() => {
    uncaught.release();
    vi.useRealTimers();
    near.close();
    proxy.close();
  });

  const settle = () => ManualTimer.settle(TURNS);

  /** Moves the library's clock and ours. */
  async function pass(ms: number): Promise<void> {
    await Promise.all([vi.advanceTimersByTimeAsync(ms), timer.advance(ms)]);
    await settle();
  }

  // A call waited for ever. Node ends a session without an error when its connection is reset after
  // a GOAWAY, and its streams close with the code NO_ERROR, which the library takes for no failure.
  it('fails the call when the connection is reset', async () => {
    proxy.freeze();
    proxy.reset();
    await settle();
    expect(failure?.kind).toBe('broken');
    expect(uncaught.errors).toEqual([]);
  });

  // A call waited for ever. Node answers the pings of a session that has got a GOAWAY itself, at once
  // and as cancelled, so the library's watch ends with the first of them and nothing times out.
  it('fails the call when the peer is silent for longer than a ping may take', async () => {
    proxy.freeze();
    await pass(PING_INTERVAL_MS);
    await pass(PING_TIMEOUT_MS);
    expect(failure?.kind).toBe('broken');
    expect(uncaught.errors).toEqual([]);
  });
});
