import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  type ClaimRequest,
  ClaimRequestSchema,
  ForwardRequestSchema,
  HeartbeatSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import type Link from '../../src/link/Link';
import PeerSession from '../../src/link/PeerSession';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import ProxiedCase from '../support/ProxiedCase';
import valueOf from '../support/valueOf';

const MIB = 1024 * 1024;
/** Number of calls that fill the socket buffers of the kernel; each fills the window of its stream. */
const FILLING_CALLS = 14;
/** Number of event-loop turns within which a session ends on loopback. */
const ENDING_TURNS = 20;
const PING_INTERVAL_MS = 5000;
const PING_TIMEOUT_MS = 10_000;
const IDLE_LIMIT_MS = 60_000;

describe('PeerSession', () => {
  let peers: ProxiedCase;

  beforeEach(async () => {
    peers = await ProxiedCase.open();
  });

  afterEach(() => peers.close());

  const dial = async () => valueOf(await peers.near.dial(peers.address, NetworkCase.hello('near')));

  const waitForEnd = async (link: Link) => {
    for await (const message of link.messages()) expect(message).toBeUndefined();
  };

  const claim = (req: ClaimRequest = create(ClaimRequestSchema)) =>
    peers.near.claim(peers.address, req);

  /** Makes calls whose bodies exceed the socket buffers while the peer reads nothing. */
  function fillingCalls<T>(call: (req: ClaimRequest) => T): T[] {
    const job = 'x'.repeat(MIB);
    return Array.from({ length: FILLING_CALLS }, () => call(create(ClaimRequestSchema, { job })));
  }

  /** Advances the time until a ping has timed out; `meanwhile` runs after the ping was sent. */
  async function passPing(meanwhile?: () => unknown): Promise<void> {
    await peers.settle();
    await peers.advance(PING_INTERVAL_MS + 1);
    meanwhile?.();
    await peers.advance(PING_TIMEOUT_MS);
  }

  /**
   * Opens a connection whose peer becomes unresponsive while data is queued, and waits until the ping
   * times out; `meanwhile` runs after the ping was sent.
   */
  async function loseSilentPeer(meanwhile?: () => unknown): Promise<void> {
    const link = await dial();
    peers.proxy.freeze();
    const calls = fillingCalls(claim);
    await passPing(meanwhile);
    await Promise.all([waitForEnd(link), ...calls]);
  }

  // An entry process ended with all its requests, 51 s after a peer had become unresponsive:
  // "Unhandled 'error' event", "ConnectError: [unavailable] PING timed out", "Emitted 'error' event
  // on ClientHttp2Session". The ping time-out had destroyed the session with this error, but Node
  // emits the error of a destroyed session only when its socket has closed, and the socket waits
  // until queued data has been written. A dial in between made the RPC library remove its listeners
  // from the old session. When the peer was reachable again and reset the old connection, the error
  // had no listener.
  it('survives the reset of a connection that was replaced', async () => {
    await loseSilentPeer();
    const link = await dial();
    peers.proxy.reset();
    await peers.settle();
    expect(peers.uncaught.errors).toEqual([]);
    peers.far.servedLinks.at(-1)!.send({ case: 'heartbeat', value: create(HeartbeatSchema) });
    const { value } = await link.messages()[Symbol.asyncIterator]().next();
    expect(value?.case).toBe('heartbeat');
  });

  // The same error, "PING timed out", without a dial: closing a session removes the RPC library's
  // listeners as well, and the library adds a listener for later errors only to a session that is not
  // destroyed yet.
  it('survives the reset of a connection that was closed', async () => {
    await loseSilentPeer();
    peers.near.close();
    peers.proxy.reset();
    await peers.settle();
    expect(peers.uncaught.errors).toEqual([]);
  });

  // A peer that shuts down gracefully sends GOAWAY. The RPC library then destroys a session without
  // streams with an error, "[canceled] received GOAWAY without any open streams", which Node emits a
  // turn of the event loop later, when the socket has closed. A call within that turn opens the next
  // session and removes the listeners from this one. To hit that turn, the test has one calling
  // process for each turn.
  it('survives a call while its peer shuts down gracefully', async () => {
    const { address } = peers.far.listener;
    const callers = Array.from({ length: ENDING_TURNS }, () =>
      ConnectNetwork.create(ManualTimer.create()),
    );
    const call = (caller: ConnectNetwork) => caller.claim(address, create(ClaimRequestSchema));
    await Promise.all(callers.map(call));
    const end = peers.far.listener.close();
    for (const caller of callers) {
      await ManualTimer.settle(1);
      call(caller);
    }
    await end;
    await peers.settle();
    callers.forEach((caller) => caller.close());
    expect(peers.uncaught.errors).toEqual([]);
  });

  // A call to an unresponsive peer makes the RPC library verify the connection by a ping. It learns
  // of the ping time-out from the session's error, which is emitted only when the socket has closed. By
  // then a dial has opened the next connection. The library confuses that one with the old one: it
  // opens a third, sends no more pings on the second and has no error listener on it, while the link
  // still uses it. The next reset ended the process with "Error: read ECONNRESET".
  it('keeps using the connection that replaced one that was being verified', async () => {
    await loseSilentPeer(() => claim());
    await dial();
    peers.proxy.reset();
    await peers.settle();
    peers.proxy.freeze();
    peers.proxy.reset();
    await peers.settle();
    expect([peers.uncaught.errors, peers.proxy.connectionCount]).toEqual([[], 2]);
  });

  it('closes the socket of a connection whose ping has timed out without waiting for the peer', async () => {
    const session = PeerSession.create(peers.address, ManualTimer.create(), 1_000);
    await session.open();
    await session.client.claim({});
    peers.proxy.freeze();
    const calls = Promise.allSettled(fillingCalls(({ job }) => session.client.claim({ job })));
    await passPing();
    expect(session.isDisconnected).toBe(true);
    await calls;
  });

  it('opens no second connection after the first has ended', async () => {
    const session = PeerSession.create(peers.address, ManualTimer.create(), 1_000);
    expect(await session.open()).toBeUndefined();
    peers.proxy.closeConnections();
    await peers.settle();
    await expect(session.client.claim({})).rejects.toThrow('the connection has ended');
    expect([session.isClosing, peers.proxy.connectionCount]).toEqual([true, 1]);
  });

  it('can call again after an unused connection was closed as idle', async () => {
    const caller = new AbortController();
    const abandoned = peers.near.forward(
      peers.address,
      create(ForwardRequestSchema),
      caller.signal,
    );
    caller.abort();
    await abandoned;
    await peers.settle();
    peers.proxy.freeze();
    await peers.advance(IDLE_LIMIT_MS);
    expect([peers.proxy.connectionCount, (await claim()).isOk()]).toEqual([1, true]);
  });

  it('closes replaced connections as well', async () => {
    const link = await dial();
    link.send({ case: 'heartbeat', value: create(HeartbeatSchema) });
    const end = peers.far.listener.close();
    await peers.settle();
    await claim();
    peers.near.close();
    await end;
    await peers.settle();
    expect(link.closed.aborted).toBe(true);
  });
});
