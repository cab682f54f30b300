import { createConnectRouter } from '@connectrpc/connect';
import {
  universalRequestFromNodeRequest,
  universalResponseToNodeResponse,
} from '@connectrpc/connect-node';
import {
  constants,
  createSecureServer,
  createServer,
  type Http2SecureServer,
  type Http2Server,
  type Http2ServerRequest,
  type Http2ServerResponse,
  type ServerHttp2Session,
  type ServerHttp2Stream,
} from 'node:http2';
import type { AddressInfo } from 'node:net';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import DEFAULT_PORT from '../core/DEFAULT_PORT';
import hostAndPort from '../core/hostAndPort';
import describeListenError from '../core/describeListenError';
import openServer from '../core/openServer';
import type TimerService from '../core/TimerService';
import { type Hello, Peer } from '../gen/magnoliakeel/v1/peer_pb';
import type CallError from './CallError';
import encodeEnvelope from './encodeEnvelope';
import envelopeFlags from './envelopeFlags';
import FrameQueue from './FrameQueue';
import FrameReader from './FrameReader';
import readHello from './readHello';
import type Listener from './Listener';
import LINK_RPC from './LINK_RPC';
import MESSAGE_LIMITS from './MESSAGE_LIMITS';
import helloMismatch from './helloMismatch';
import type PeerHandlers from './PeerHandlers';
import SESSION_OPTIONS from './SESSION_OPTIONS';
import StreamLink from './StreamLink';
import type TlsCredentials from './TlsCredentials';
import enlargeSessionWindow from './enlargeSessionWindow';
import writeFrames from './writeFrames';

const IDLE_SESSION_TIMEOUT_MS = 120_000;
const CLOSE_GRACE_MS = 1000;

/** The HTTP/2 server of one process for its peers, at one address. */
export default class PeerServer implements Listener {
  private readonly server: Http2Server | Http2SecureServer;

  private readonly sessions = new Set<ServerHttp2Session>();

  private readonly links = new Set<StreamLink>();

  private readonly handlersByPath: ReadonlyMap<string, RpcHandler>;

  private constructor(
    private readonly hello: () => Hello,
    private readonly handlers: PeerHandlers,
    private readonly timer: TimerService,
    tls: TlsCredentials | undefined,
  ) {
    this.handlersByPath = this.createRoutes();
    this.server = tls ? createTlsServer(tls) : createServer(SESSION_OPTIONS);
    this.server.on('request', (req: Http2ServerRequest, res: Http2ServerResponse) =>
      this.handle(req, res),
    );
    // Ends the session of a client that vanished without closing it; a live client sends pings.
    this.server.setTimeout(IDLE_SESSION_TIMEOUT_MS);
    this.server.on('session', (session: ServerHttp2Session) => this.trackSession(session));
  }

  /** Binds the address and serves it until the listener is closed. */
  static listen(
    address: string,
    hello: () => Hello,
    handlers: PeerHandlers,
    timer: TimerService,
    tls?: TlsCredentials,
  ): ResultAsync<Listener, CallError> {
    return new ResultAsync(new PeerServer(hello, handlers, timer, tls).open(address));
  }

  get address(): string {
    const { address, family, port } = this.server.address() as AddressInfo;
    return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.links.forEach((link) => link.close());
    this.sessions.forEach((session) => session.close());
    const graceTimer = this.timer.after(CLOSE_GRACE_MS, () =>
      this.sessions.forEach((session) => session.destroy()),
    );
    await closed;
    graceTimer.cancel();
  }

  private open(address: string): Promise<Result<Listener, CallError>> {
    const endpoint = hostAndPort(new URL(`http://${address}`), DEFAULT_PORT);
    return openServer(this.server, endpoint, (error) => this.handlers.onError?.(error)).then(
      () => ok(this),
      (cause: Error) => err({ kind: 'unreachable', reason: describeListenError(cause) }),
    );
  }

  private trackSession(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.once('close', () => this.sessions.delete(session));
    session.on('error', () => session.destroy());
    enlargeSessionWindow(session);
  }

  private createRoutes(): ReadonlyMap<string, RpcHandler> {
    const { handlers } = this;
    const router = createConnectRouter({ acceptCompression: [], ...MESSAGE_LIMITS });
    router.service(Peer, {
      forward: (req) => handlers.forward(req),
      claim: (req) => handlers.claim(req),
      handover: (req) => handlers.handover(req),
      inspect: (req) => handlers.inspect(req),
    });
    return new Map(router.handlers.map((handler) => [handler.requestPath, handler]));
  }

  private async handle(req: Http2ServerRequest, res: Http2ServerResponse): Promise<void> {
    if (req.url === LINK_RPC.path) {
      this.serveLink(req.stream).catch((error: unknown) => {
        this.handlers.onError?.(error);
        req.stream.close(constants.NGHTTP2_CANCEL);
      });
      return;
    }
    const handler = this.handlersByPath.get(req.url);
    if (!handler) {
      res.writeHead(constants.HTTP_STATUS_NOT_FOUND).end();
      return;
    }
    try {
      const request = universalRequestFromNodeRequest(req, res, undefined, undefined);
      await universalResponseToNodeResponse(await handler(request), res);
    } catch {
      // The peer is gone; the handler is notified by the request's signal.
      req.stream.close(constants.NGHTTP2_CANCEL);
    }
  }

  private async serveLink(stream: ServerHttp2Stream): Promise<void> {
    stream.respond({ 'content-type': LINK_RPC.contentType });
    const own = this.hello();
    const incoming = FrameReader.of(stream);
    const first = await incoming.next();
    const peer = readHello(first);
    const mismatch = peer ? helloMismatch(peer, own) : 'the link began without a hello';
    if (!peer || mismatch !== undefined) {
      endLink(stream, { error: { code: 'failed_precondition', message: mismatch } });
      return;
    }
    const reset = () => stream.close(constants.NGHTTP2_CANCEL);
    const outgoing = FrameQueue.create(reset);
    outgoing.send({ case: 'hello', value: own });
    writeFrames(stream, outgoing.frames()).then(
      () => endLink(stream, {}),
      (error: Error) => stream.destroy(error),
    );
    const { timer } = this;
    this.serve(StreamLink.open({ timer, peer, first: first.value, incoming, outgoing, reset }));
  }

  private serve(link: StreamLink): void {
    this.links.add(link);
    link.closed.addEventListener('abort', () => this.links.delete(link), { once: true });
    this.handlers.link(link).then(
      () => link.close(),
      (error: unknown) => {
        this.handlers.onError?.(error);
        link.close();
      },
    );
  }
}

/** Ends a link's stream with its last message: an empty object, or the error for which the link is rejected. */
function endLink(stream: ServerHttp2Stream, last: object): void {
  if (stream.destroyed) return;
  const content = Buffer.from(JSON.stringify(last));
  stream.end(encodeEnvelope(envelopeFlags.endStream, content));
}

/**
 * Creates a server that requires client certificates of the same authority and reloads its own credentials
 * when they change.
 */
function createTlsServer(tls: TlsCredentials): Http2SecureServer {
  const clientAuth = { requestCert: true, rejectUnauthorized: true };
  const server = createSecureServer({ ...SESSION_OPTIONS, ...tls.current, ...clientAuth });
  tls.subscribe((contents) => server.setSecureContext(contents));
  return server;
}

type RpcHandler = ReturnType<typeof createConnectRouter>['handlers'][number];
