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
import listenProblem from '../core/listenProblem';
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

const SILENT_SESSION_MS = 120_000;
const CLOSE_GRACE_MS = 1000;

/** Serves the peers of one process at one address. */
export default class PeerServer implements Listener {
  private readonly server: Http2Server | Http2SecureServer;

  private readonly sessions = new Set<ServerHttp2Session>();

  private readonly links = new Set<StreamLink>();

  private readonly paths: ReadonlyMap<string, PeerHandler>;

  private constructor(
    private readonly hello: () => Hello,
    private readonly handlers: PeerHandlers,
    private readonly timer: TimerService,
    tls: TlsCredentials | undefined,
  ) {
    this.paths = this.routes();
    this.server = tls ? secureServer(tls) : createServer(SESSION_OPTIONS);
    this.server.on('request', (req: Http2ServerRequest, res: Http2ServerResponse) =>
      this.handle(req, res),
    );
    // A session whose client vanished without a word is ended in the end; a live one sends pings.
    this.server.setTimeout(SILENT_SESSION_MS);
    this.server.on('session', (session: ServerHttp2Session) => this.track(session));
  }

  /** Opens the address and serves it until the listener is closed. */
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
    const grace = this.timer.after(CLOSE_GRACE_MS, () =>
      this.sessions.forEach((session) => session.destroy()),
    );
    await closed;
    grace.cancel();
  }

  private open(address: string): Promise<Result<Listener, CallError>> {
    const place = hostAndPort(new URL(`http://${address}`), DEFAULT_PORT);
    return openServer(this.server, place, (error) => this.handlers.onError?.(error)).then(
      () => ok(this),
      (cause: Error) => err({ kind: 'unreachable', reason: listenProblem(cause) }),
    );
  }

  private track(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.once('close', () => this.sessions.delete(session));
    session.on('error', () => session.destroy());
    enlargeSessionWindow(session);
  }

  private routes(): ReadonlyMap<string, PeerHandler> {
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
    const handler = this.paths.get(req.url);
    if (!handler) {
      res.writeHead(constants.HTTP_STATUS_NOT_FOUND).end();
      return;
    }
    try {
      const request = universalRequestFromNodeRequest(req, res, undefined, undefined);
      await universalResponseToNodeResponse(await handler(request), res);
    } catch {
      // The peer has gone; whoever serves it sees that on the request's signal.
      req.stream.close(constants.NGHTTP2_CANCEL);
    }
  }

  private async serveLink(stream: ServerHttp2Stream): Promise<void> {
    stream.respond({ 'content-type': LINK_RPC.contentType });
    const own = this.hello();
    const incoming = FrameReader.of(stream);
    const first = await incoming.next();
    const peer = readHello(first);
    const objection = peer ? helloMismatch(peer, own) : 'the link began without a hello';
    if (!peer || objection !== undefined) {
      endLink(stream, { error: { code: 'failed_precondition', message: objection } });
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

/** Ends a link's stream in good order, or with what speaks against the link. */
function endLink(stream: ServerHttp2Stream, last: object): void {
  if (stream.destroyed) return;
  const content = Buffer.from(JSON.stringify(last));
  stream.end(encodeEnvelope(envelopeFlags.endStream, content));
}

/** A server that asks for certificates of the same authority, and follows a change of its own. */
function secureServer(tls: TlsCredentials): Http2SecureServer {
  const asked = { requestCert: true, rejectUnauthorized: true };
  const server = createSecureServer({ ...SESSION_OPTIONS, ...tls.current, ...asked });
  tls.subscribe((contents) => server.setSecureContext(contents));
  return server;
}

type PeerHandler = ReturnType<typeof createConnectRouter>['handlers'][number];
