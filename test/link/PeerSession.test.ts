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
/** One call fills the window of its stream, and these the buffers of the kernel. */
const FILLING_CALLS = 14;
/** Turns of the event loop within which a session ends on loopback. */
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

  const ended = async (link: Link) => {
    for await (const message of link.messages()) expect(message).toBeUndefined();
  };

  const claim = (req: ClaimRequest = create(ClaimRequestSchema)) =>
    peers.near.claim(peers.address, req);

  /** Makes calls whose bodies the kernel does not take while the peer is silent. */
  function fillingCalls<T>(call: (req: ClaimRequest) => T): T[] {
    const job = 'x'.repeat(MIB);
    return Array.from({ length: FILLING_CALLS }, () => call(create(ClaimRequestSchema, { job })));
  }

  /** Lets the time pass until a ping has timed out; `meanwhile` is done after the ping. */
  async function passPing(meanwhile?: () => unknown): Promise<void> {
    await peers.settle();
    await peers.advance(PING_INTERVAL_MS + 1);
    meanwhile?.();
    await peers.advance(PING_TIMEOUT_MS);
  }

  /**
   * Opens a connection to a peer that falls silent with data queued, up to when its ping times out;
   * `meanwhile` is done after the ping.
   */
  async function loseSilentPeer(meanwhile?: () => unknown): Promise<void> {
    const link = await dial();
    peers.proxy.freeze();
    const calls = fillingCalls(claim);
    await passPing(meanwhile);
    await Promise.all([ended(link), ...calls]);
  }

  // An entry ended with all requests that it held, 51 s after a peer had fallen silent:
  // "Unhandled 'error' event", "ConnectError: [unavailable] PING timed out", "Emitted 'error' event
  // on ClientHttp2Session". The ping that timed out had destroyed the session with this error, but
  // Node emits the error of a destroyed session only when its socket has closed, and the socket
  // waits until what is queued has been written. A dial in between made the library take its
  // listeners off the old session. When the peer was back and reset the old connection, nobody
  // listened.
  it('survives the reset of a connection that it has replaced', async () => {
    await loseSilentPeer();
    const link = await dial();
    peers.proxy.reset();
    await peers.settle();
    expect(peers.uncaught.errors).toEqual([]);
    peers.far.servedLinks.at(-1)!.send({ case: 'heartbeat', value: create(HeartbeatSchema) });
    const { value } = await link.messages()[Symbol.asyncIterator]().next();
    expect(value?.case).toBe('heartbeat');
  });

  // The same words, "PING timed out", without a dial: closing a session takes the library's listeners
  // off as well, and the listener that it adds for the errors to come goes only to a session that is
  // not destroyed yet.
  it('survives the reset of a connection that it has closed', async () => {
    await loseSilentPeer();
    peers.near.close();
    peers.proxy.reset();
    await peers.settle();
    expect(peers.uncaught.errors).toEqual([]);
  });

  // A peer that ends in good order sends GOAWAY. The library then destroys a session without streams
  // with an error, "[canceled] received GOAWAY without any open streams", which Node emits a turn of
  // the event loop later, when the socket has closed. A call within that turn opens the next session
  // and takes the listeners off this one. As many processes as turns, each of which calls in a turn
  // of its own, meet it.
  it('survives a call in the moment in which its peer ends in good order', async () => {
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

  // A call to a silent peer makes the library verify the connection by a ping, and it learns that this
  // ping timed out from the session's error, so when the socket has closed. By then a dial has opened
  // the next connection. The library takes that one for the old one: it opens a third, and sends no
  // pings on the second any more and does not hear its errors, while the link goes on over it. The
  // next reset ended the process with "Error: read ECONNRESET".
  it('keeps to the connection that replaced one that was being verified', async () => {
    await loseSilentPeer(() => claim());
    await dial();
    peers.proxy.reset();
    await peers.settle();
    peers.proxy.freeze();
    peers.proxy.reset();
    await peers.settle();
    expect([peers.uncaught.errors, peers.proxy.connections]).toEqual([[], 2]);
  });

  it('ends the socket of a connection whose ping has timed out, before its peer is back', async () => {
    const session = PeerSession.create(peers.address, ManualTimer.create(), 1_000);
    await session.open();
    await session.client.claim({});
    peers.proxy.freeze();
    const calls = Promise.allSettled(fillingCalls(({ job }) => session.client.claim({ job })));
    await passPing();
    expect(session.isDisconnected).toBe(true);
    await calls;
  });

  it('opens no second connection in place of one that has ended', async () => {
    const session = PeerSession.create(peers.address, ManualTimer.create(), 1_000);
    expect(await session.open()).toBeUndefined();
    peers.proxy.break();
    await peers.settle();
    await expect(session.client.claim({})).rejects.toThrow('the connection has ended');
    expect([session.isClosing, peers.proxy.connections]).toEqual([true, 1]);
  });

  it('calls anew after a connection that was opened and never used has idled out', async () => {
    const gone = new AbortController();
    const given = peers.near.forward(peers.address, create(ForwardRequestSchema), gone.signal);
    gone.abort();
    await given;
    await peers.settle();
    peers.proxy.freeze();
    await peers.advance(IDLE_LIMIT_MS);
    expect([peers.proxy.connections, (await claim()).isOk()]).toEqual([1, true]);
  });

  it('closes connections that were replaced, too', async () => {
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
