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
const PING_INTERVAL_MS = 5000;
const PING_TIMEOUT_MS = 10_000;

describe('PeerSession', () => {
  let far: NetworkCase;
  let proxy: TcpProxy;
  let near: ConnectNetwork;
  let uncaught: Uncaught;

  beforeEach(async () => {
    // The pings of a session are timed by the library; all else keeps its time.
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
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

  /** Opens a connection to a peer that falls silent with data queued, up to when its ping times out. */
  async function loseSilentPeer(): Promise<void> {
    const link = await dial();
    proxy.freeze();
    const job = 'x'.repeat(MIB);
    const calls = Array.from({ length: FILLING_CALLS }, () =>
      near.claim(proxy.address, create(ClaimRequestSchema, { job })),
    );
    await settle();
    await vi.advanceTimersByTimeAsync(PING_INTERVAL_MS);
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
});
