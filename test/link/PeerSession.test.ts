import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ClaimRequestSchema, HeartbeatSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import type Link from '../../src/link/Link';
import ManualTimer from '../support/ManualTimer';
import NetworkCase from '../support/NetworkCase';
import TcpProxy from '../support/TcpProxy';
import Uncaught from '../support/Uncaught';
import valueOf from '../support/valueOf';

const MIB = 1024 * 1024;
/** One call fills the window of its stream, and these the buffers of the kernel. */
const FILLING_CALLS = 14;
/** Turns of the event loop after which nothing is left to be done on loopback. */
const TURNS = 200;
/** Turns of the event loop within which a session ends on loopback. */
const ENDING_TURNS = 20;
const PING_INTERVAL_MS = 5000;
const PING_TIMEOUT_MS = 10_000;

describe('PeerSession', () => {
  let far: NetworkCase;
  let proxy: TcpProxy;
  let near: ConnectNetwork;
  let uncaught: Uncaught;

  beforeEach(async () => {
    // The pings of a session are timed by the library; all else keeps its time.
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'Date'] });
    far = await NetworkCase.start(NetworkCase.kinds.connect!);
    proxy = await TcpProxy.to(far.listener.address);
    near = ConnectNetwork.create(ManualTimer.create());
    uncaught = Uncaught.collect();
  });

  afterEach(async () => {
    uncaught.release();
    vi.useRealTimers();
    near.close();
    proxy.close();
    await far.stop();
  });

  const settle = () => ManualTimer.settle(TURNS);

  const dial = async () => valueOf(await near.dial(proxy.address, NetworkCase.hello('near')));

  const ended = async (link: Link) => {
    for await (const message of link.messages()) expect(message).toBeUndefined();
  };

  const claim = (job = '') => near.claim(proxy.address, create(ClaimRequestSchema, { job }));

  /**
   * Opens a connection to a peer that falls silent with data queued, up to when its ping times out;
   * `meanwhile` is done after the ping.
   */
  async function loseSilentPeer(meanwhile?: () => unknown): Promise<void> {
    const link = await dial();
    proxy.freeze();
    const job = 'x'.repeat(MIB);
    const calls = Array.from({ length: FILLING_CALLS }, () => claim(job));
    await settle();
    await vi.advanceTimersByTimeAsync(PING_INTERVAL_MS + 1);
    meanwhile?.();
    await vi.advanceTimersByTimeAsync(PING_TIMEOUT_MS);
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
    proxy.reset();
    await settle();
    expect(uncaught.errors).toEqual([]);
    far.served.at(-1)!.send({ case: 'heartbeat', value: create(HeartbeatSchema) });
    const { value } = await link.messages()[Symbol.asyncIterator]().next();
    expect(value?.case).toBe('heartbeat');
  });

  // The same words, "PING timed out", without a dial: closing a session takes the library's listeners
  // off as well, and the listener that it adds for the errors to come goes only to a session that is
  // not destroyed yet.
  it('survives the reset of a connection that it has closed', async () => {
    await loseSilentPeer();
    near.close();
    proxy.reset();
    await settle();
    expect(uncaught.errors).toEqual([]);
  });

  // A peer that ends in good order sends GOAWAY. The library then destroys a session without streams
  // with an error, "[canceled] received GOAWAY without any open streams", which Node emits a turn of
  // the event loop later, when the socket has closed. A call within that turn opens the next session
  // and takes the listeners off this one. As many processes as turns, each of which calls in a turn
  // of its own, meet it.
  it('survives a call in the moment in which its peer ends in good order', async () => {
    const { address } = far.listener;
    const callers = Array.from({ length: ENDING_TURNS }, () =>
      ConnectNetwork.create(ManualTimer.create()),
    );
    const call = (caller: ConnectNetwork) => caller.claim(address, create(ClaimRequestSchema));
    await Promise.all(callers.map(call));
    const end = far.listener.close();
    for (const caller of callers) {
      await ManualTimer.settle(1);
      call(caller);
    }
    await end;
    await settle();
    callers.forEach((caller) => caller.close());
    expect(uncaught.errors).toEqual([]);
  });

  // A call to a silent peer makes the library verify the connection by a ping, and it learns that this
  // ping timed out from the session's error, so when the socket has closed. By then a dial has opened
  // the next connection. The library takes that one for the old one: it opens a third, and sends no
  // pings on the second any more and does not hear its errors, while the link goes on over it. The
  // next reset ended the process with "Error: read ECONNRESET".
  it('keeps to the connection that replaced one that was being verified', async () => {
    await loseSilentPeer(claim);
    await dial();
    proxy.reset();
    await settle();
    proxy.freeze();
    proxy.reset();
    await settle();
    expect([uncaught.errors, proxy.connections]).toEqual([[], 2]);
  });
});
