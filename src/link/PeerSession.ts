import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { ClientHttp2Stream, Http2Session } from 'node:http2';
import { connect, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import DEFAULT_PORT from '../core/DEFAULT_PORT';
import hostAndPort from '../core/hostAndPort';
import type TimerService from '../core/TimerService';
import { Peer } from '../gen/magnoliakeel/v1/peer_pb';
import LINK_RPC from './LINK_RPC';
import MESSAGE_LIMITS from './MESSAGE_LIMITS';
import SESSION_OPTIONS from './SESSION_OPTIONS';
import type TlsCredentials from './TlsCredentials';
import enlargeSessionWindow from './enlargeSessionWindow';

const KEEP_ALIVE = {
  pingIntervalMs: 5000,
  pingTimeoutMs: 10_000,
  idleConnectionTimeoutMs: 60_000,
};

/**
 * One HTTP/2 connection to an address: opened on demand, shared by all calls and the link, and never
 * reopened once it has ended. A later connection is a new `PeerSession`, so that the error listeners of
 * an older one stay in place while it is still closing.
 */
export default class PeerSession {
  /** RPC client for the peer's methods over this session. */
  readonly client: Client<typeof Peer>;

  private readonly manager: Http2SessionManager;

  private socket: Socket | undefined;

  private readonly streams = new Set<ClientHttp2Stream>();

  /** Error with which the socket failed. */
  private failure: Error | undefined;

  /** Undefined before the first request. */
  private http2Session: Http2Session | undefined;

  private constructor(
    address: string,
    private readonly timer: TimerService,
    private readonly connectMs: number,
    private readonly tls: TlsCredentials | undefined,
  ) {
    const baseUrl = `${tls ? 'https' : 'http'}://${address}`;
    const createConnection = (url: URL): Socket => this.createConnection(url);
    const options = { ...SESSION_OPTIONS, createConnection };
    this.manager = new Http2SessionManager(baseUrl, KEEP_ALIVE, options);
    this.client = createClient(Peer, this.createTransport(baseUrl));
  }

  /** Creates a session to the address without opening it. */
  static create(
    address: string,
    timer: TimerService,
    connectMs: number,
    tls?: TlsCredentials,
  ): PeerSession {
    return new PeerSession(address, timer, connectMs, tls);
  }

  /** True once the connection is closing or closed, cleanly or not: it accepts no new requests. */
  get isClosing(): boolean {
    const { socket, http2Session, manager } = this;
    if (!socket) return false;
    const isManagerDone = ['closed', 'error'].includes(manager.state());
    return (
      socket.destroyed ||
      isManagerDone ||
      http2Session?.closed === true ||
      http2Session?.destroyed === true
    );
  }

  /** True while there is no open socket: before the connection is opened and after it has ended. */
  get isDisconnected(): boolean {
    return this.socket?.destroyed ?? true;
  }

  /** Opens the connection unless it is open. Resolves to undefined, or to the reason if that fails. */
  async open(signal?: AbortSignal): Promise<string | undefined> {
    if (signal?.aborted) return 'the caller has given up';
    const connectEnd = new AbortController();
    const stop = signal ? AbortSignal.any([signal, connectEnd.signal]) : connectEnd.signal;
    const late = this.timer.sleep(this.connectMs, stop).then(() => 'late' as const);
    const state = await Promise.race([this.manager.connect(), late]);
    connectEnd.abort();
    if (state === 'late') return this.abandonConnect(signal);
    if (state !== 'error') return undefined;
    this.close();
    const cause = this.manager.error() ?? this.failure;
    return cause instanceof Error ? cause.message : 'the connection has ended';
  }

  /**
   * Closes the connection at once, with all its calls and its link. The session manager notices the end of
   * the socket. Its own `abort` is not used: it would remove the listeners from a connection that has just
   * failed and whose error is yet to be emitted.
   */
  close(): void {
    this.socket?.destroy();
  }

  /** Opens the stream of a link; nothing is written to it yet. Rejects if there is no connection. */
  async openLink(): Promise<ClientHttp2Stream> {
    const { path, contentType } = LINK_RPC;
    const headers = { 'content-type': contentType, 'connect-protocol-version': '1' };
    const stream = await this.manager.request('POST', path, headers, {});
    this.trackStream(stream);
    stream.once('response', ({ ':status': status }) => {
      if (status !== HTTP_OK) stream.destroy(new Error(`peer answered with status ${status}`));
    });
    this.reportActivity(stream);
    return stream;
  }

  /** Reports received data to the session manager, so that it sends no pings; each report costs a timer. */
  private reportActivity(stream: ClientHttp2Stream): void {
    let reportedAt = -Infinity;
    stream.on('data', () => {
      const now = this.timer.now();
      if (now - reportedAt < ACTIVITY_REPORT_INTERVAL_MS) return;
      reportedAt = now;
      this.manager.notifyResponseByteRead(stream);
    });
  }

  private abandonConnect(signal?: AbortSignal): string {
    if (signal?.aborted) return 'the caller has given up';
    if (this.manager.state() === 'connecting') this.close();
    return `no connection within ${this.connectMs} ms`;
  }

  /**
   * Called by the session manager to open a connection. A second connection is refused: the manager would
   * remove its listeners from the first one, whose later error (when a peer that was unreachable resets it)
   * would then be unhandled and end this process.
   */
  private createConnection(url: URL): Socket {
    if (this.socket) throw new Error('the connection has ended');
    const socket = this.tls
      ? connectWithTls(url, this.tls)
      : connect(hostAndPort(url, DEFAULT_PORT));
    // When the connection to a peer that has sent GOAWAY is lost, Node ends the session without an error, and
    // the RPC library would wait forever for open streams. These listeners run before Node's own.
    socket.on('error', (cause) => this.fail(cause));
    socket.once('close', () => this.fail(new Error('the connection has ended')));
    this.socket = socket;
    return socket;
  }

  private fail(cause: Error): void {
    this.failure ??= cause;
    this.streams.forEach((stream) => stream.destroy(cause));
  }

  private createTransport(baseUrl: string) {
    const { manager } = this;
    const sessionManager = {
      authority: manager.authority,
      request: async (...args: Parameters<Http2SessionManager['request']>) => {
        const stream = await manager.request(...args);
        this.trackStream(stream);
        return stream;
      },
      notifyResponseByteRead: (stream: ClientHttp2Stream) => manager.notifyResponseByteRead(stream),
    };
    return createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager,
      useBinaryFormat: true,
      acceptCompression: [],
      ...MESSAGE_LIMITS,
    });
  }

  private trackStream(stream: ClientHttp2Stream): void {
    const { session } = stream;
    if (!session) return;
    this.streams.add(stream);
    stream.once('close', () => this.streams.delete(stream));
    // A failed session writes its queued data before it closes its socket. With an unreachable peer
    // that takes until TCP gives up, so the socket is closed here.
    stream.once('error', () => {
      if (session.destroyed) this.close();
    });
    if (this.http2Session) return;
    this.http2Session = session;
    session.once('goaway', () => this.monitorShutdown(session));
    enlargeSessionWindow(session);
  }

  /**
   * Closes the connection of a peer that has sent GOAWAY and then stops responding. Node sends no pings on a
   * session that the peer is closing, so the RPC library's keep-alive does not work there. SETTINGS frames are
   * sent instead, which the peer has to acknowledge as well.
   */
  private monitorShutdown(session: Http2Session): void {
    let probeSentAt: number | undefined;
    const probe = (): void => {
      const now = this.timer.now();
      const isUnresponsive =
        probeSentAt !== undefined && now - probeSentAt >= KEEP_ALIVE.pingTimeoutMs;
      if (isUnresponsive || session.destroyed) {
        this.close();
        return;
      }
      if (probeSentAt !== undefined) return;
      probeSentAt = now;
      session.settings(SESSION_OPTIONS.settings, () => {
        probeSentAt = undefined;
      });
    };
    const probes = this.timer.every(KEEP_ALIVE.pingIntervalMs, probe);
    this.socket?.once('close', () => probes.cancel());
  }
}

function connectWithTls(url: URL, tls: TlsCredentials): Socket {
  return connectTls({
    ...tls.current,
    ...hostAndPort(url, DEFAULT_TLS_PORT),
    ALPNProtocols: ['h2'],
    // Processes are authenticated by the authority of their certificates, not by their addresses, which change.
    checkServerIdentity: () => undefined,
  });
}

/**
 * Shortest interval between two activity reports to the session manager, ms: well below the idle time before
 * a ping.
 */
const ACTIVITY_REPORT_INTERVAL_MS = 1_000;

const HTTP_OK = 200;

/** Default port of https URLs, which URLs omit. */
const DEFAULT_TLS_PORT = 443;
