import { type Client, ConnectError } from '@connectrpc/connect';
import { type ClientHttp2Stream, constants } from 'node:http2';
import { err, ok, Result, ResultAsync } from 'neverthrow';
import type TimerService from '../core/TimerService';
import type {
  ClaimRequest,
  ClaimResponse,
  ForwardRequest,
  ForwardResponse,
  HandoverRequest,
  HandoverResponse,
  Hello,
  InspectRequest,
  InspectResponse,
  Peer,
} from '../gen/magnoliakeel/v1/peer_pb';
import type CallError from './CallError';
import FrameQueue from './FrameQueue';
import FrameReader from './FrameReader';
import readHello from './readHello';
import type Link from './Link';
import type Listener from './Listener';
import type Network from './Network';
import helloMismatch from './helloMismatch';
import type PeerHandlers from './PeerHandlers';
import PeerServer from './PeerServer';
import PeerSession from './PeerSession';
import StreamLink from './StreamLink';
import type TlsCredentials from './TlsCredentials';
import writeFrames from './writeFrames';

/** Default time-outs for opening a connection and for the peer's hello, ms. */
const DEFAULT_TIMEOUTS = { connectMs: 3000, helloMs: 5000 };

/** The network of a running process: Connect calls over HTTP/2, in plain text or with mutual TLS. */
export default class ConnectNetwork implements Network {
  private readonly sessions = new Map<string, PeerSession>();

  /** Sessions that accept no new requests and whose sockets are still open. */
  private readonly closingSessions = new Set<PeerSession>();

  private constructor(
    private readonly timer: TimerService,
    private readonly tls: TlsCredentials | undefined,
    private readonly timeouts: typeof DEFAULT_TIMEOUTS,
  ) {}

  /** Creates the network of one process; with credentials, all its connections use TLS. */
  static create(
    timer: TimerService,
    tls?: TlsCredentials,
    timeouts = DEFAULT_TIMEOUTS,
  ): ConnectNetwork {
    return new ConnectNetwork(timer, tls, timeouts);
  }

  dial(address: string, hello: Hello): ResultAsync<Link, CallError> {
    return new ResultAsync(this.openLink(address, hello));
  }

  forward(
    address: string,
    req: ForwardRequest,
    signal: AbortSignal,
  ): ResultAsync<ForwardResponse, CallError> {
    return this.call(address, (client) => client.forward(req, { signal }), signal);
  }

  claim(address: string, req: ClaimRequest): ResultAsync<ClaimResponse, CallError> {
    return this.call(address, (client) => client.claim(req));
  }

  handover(address: string, req: HandoverRequest): ResultAsync<HandoverResponse, CallError> {
    return this.call(address, (client) => client.handover(req));
  }

  inspect(address: string, req: InspectRequest): ResultAsync<InspectResponse, CallError> {
    return this.call(address, (client) => client.inspect(req));
  }

  listen(
    address: string,
    hello: () => Hello,
    handlers: PeerHandlers,
  ): ResultAsync<Listener, CallError> {
    return PeerServer.listen(address, hello, handlers, this.timer, this.tls);
  }

  /** Closes every session that this process has opened. Listeners have to be closed separately. */
  close(): void {
    [...this.sessions.values(), ...this.closingSessions].forEach((session) => session.close());
    this.sessions.clear();
    this.closingSessions.clear();
  }

  private call<T>(
    address: string,
    send: (client: Client<typeof Peer>) => Promise<T>,
    signal?: AbortSignal,
  ): ResultAsync<T, CallError> {
    const session = new ResultAsync(this.openSession(address, signal));
    return session.andThen(({ client }) => ResultAsync.fromPromise(send(client), brokenError));
  }

  /** Opens the session to an address. The address may have been received from a peer and be invalid. */
  private async openSession(
    address: string,
    signal?: AbortSignal,
  ): Promise<Result<PeerSession, CallError>> {
    const found = Result.fromThrowable(() => this.sessionFor(address), String)();
    if (found.isErr()) return err({ kind: 'unreachable', reason: found.error });
    const session = found.value;
    const failure = await session.open(signal);
    return failure === undefined ? ok(session) : err({ kind: 'unreachable', reason: failure });
  }

  private async openLink(address: string, hello: Hello): Promise<Result<Link, CallError>> {
    const opened = await this.openSession(address);
    if (opened.isErr()) return err(opened.error);
    const session = opened.value;
    let stream: ClientHttp2Stream | undefined;
    const cancel = (): void => stream?.close(constants.NGHTTP2_CANCEL);
    const outgoing = FrameQueue.create(cancel);
    outgoing.send({ case: 'hello', value: hello });
    const helloTimeout = this.timer.after(this.timeouts.helloMs, () => {
      cancel();
      session.close();
    });
    try {
      stream = await session.openLink();
      const incoming = FrameReader.of(stream);
      writeOutgoing(stream, outgoing);
      const first = await incoming.next();
      const peer = readHello(first);
      const mismatch = peer ? helloMismatch(peer, hello) : 'the peer sent no hello';
      if (peer && mismatch === undefined) {
        // The peer did not end the stream, so its whole connection may be dead and is closed as well.
        const reset = () => {
          cancel();
          session.close();
        };
        const parts = { timer: this.timer, peer, first: first.value, incoming, outgoing, reset };
        return ok(StreamLink.open(parts));
      }
      outgoing.abort();
      cancel();
      return err({ kind: 'broken', reason: mismatch ?? '' });
    } catch (cause) {
      outgoing.abort();
      return err(brokenError(cause));
    } finally {
      helloTimeout.cancel();
    }
  }

  private sessionFor(address: string): PeerSession {
    const known = this.sessions.get(address);
    if (known && !known.isClosing) return known;
    this.removeClosing();
    const session = PeerSession.create(address, this.timer, this.timeouts.connectMs, this.tls);
    this.sessions.set(address, session);
    return session;
  }

  private removeClosing(): void {
    this.sessions.forEach((session, address) => {
      if (!session.isClosing) return;
      this.sessions.delete(address);
      this.closingSessions.add(session);
    });
    this.closingSessions.forEach((session) => {
      if (session.isDisconnected) this.closingSessions.delete(session);
    });
  }
}

/** Writes queued messages until the link ends. A message that cannot be encoded ends it as well. */
function writeOutgoing(stream: ClientHttp2Stream, outgoing: FrameQueue): void {
  writeFrames(stream, outgoing.frames()).then(
    () => stream.end(),
    (error: Error) => stream.destroy(error),
  );
}

function brokenError(cause: unknown): CallError {
  return { kind: 'broken', reason: ConnectError.from(cause).rawMessage };
}
