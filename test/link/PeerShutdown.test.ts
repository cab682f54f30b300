import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ClaimRequestSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type CallError from '../../src/link/CallError';
import never from '../support/never';
import ProxiedCase from '../support/ProxiedCase';

const PING_INTERVAL_MS = 5000;
const PING_TIMEOUT_MS = 10_000;

describe('a peer that stops in good order before its last answer', () => {
  let peers: ProxiedCase;
  let failure: CallError | undefined;

  // A call waits for its answer, and the peer has said that it stops.
  beforeEach(async () => {
    let arrived: () => void;
    const taken = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    peers = await ProxiedCase.open({
      claim: () => {
        arrived();
        return never();
      },
    });
    failure = undefined;
    peers.near.claim(peers.address, create(ClaimRequestSchema)).mapErr((error) => {
      failure = error;
    });
    await taken;
    peers.far.listener.close();
    await peers.settle();
    expect(failure).toBeUndefined();
    peers.proxy.freeze();
  });

  afterEach(() => peers.close());

  // A call waited for ever. Node ends a session without an error when its connection is reset after
  // a GOAWAY, and its streams close with the code NO_ERROR, which the library takes for no failure.
  it('fails the call when the connection is reset', async () => {
    peers.proxy.reset();
    await peers.settle();
    expect(failure?.kind).toBe('broken');
    expect(peers.uncaught.errors).toEqual([]);
  });

  // A call waited for ever. Node answers the pings of a session that has got a GOAWAY itself, at once
  // and as cancelled, so the library's watch ends with the first of them and nothing times out.
  it('fails the call when the peer is silent for longer than a ping may take', async () => {
    await peers.advance(PING_INTERVAL_MS);
    await peers.advance(PING_TIMEOUT_MS);
    expect(failure?.kind).toBe('broken');
    expect(peers.uncaught.errors).toEqual([]);
  });
});
