import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ClaimRequestSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import type CallError from '../../src/link/CallError';
import never from '../support/never';
import ProxiedCase from '../support/ProxiedCase';

const PING_INTERVAL_MS = 5000;
const PING_TIMEOUT_MS = 10_000;

describe('a peer that shuts down gracefully before its last answer', () => {
  let peers: ProxiedCase;
  let failure: CallError | undefined;

  // A call waits for its answer, and the peer has sent GOAWAY.
  beforeEach(async () => {
    let arrived: () => void;
    const callArrived = new Promise<void>((resolve) => {
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
    await callArrived;
    peers.far.listener.close();
    await peers.settle();
    expect(failure).toBeUndefined();
    peers.proxy.freeze();
  });

  afterEach(() => peers.close());

  // The call waited forever. When a connection is reset after GOAWAY, Node ends the session without an
  // error and closes its streams with the code NO_ERROR, which the RPC library does not treat as a failure.
  it('fails the call when the connection is reset', async () => {
    peers.proxy.reset();
    await peers.settle();
    expect(failure?.kind).toBe('broken');
    expect(peers.uncaught.errors).toEqual([]);
  });

  // The call waited forever. On a session that has received GOAWAY, Node calls back pings itself, at once
  // and as cancelled, so the RPC library's keep-alive ends with the first ping and nothing times out.
  it('fails the call when the peer is unresponsive for longer than the ping time-out', async () => {
    await peers.advance(PING_INTERVAL_MS);
    await peers.advance(PING_TIMEOUT_MS);
    expect(failure?.kind).toBe('broken');
    expect(peers.uncaught.errors).toEqual([]);
  });
});
