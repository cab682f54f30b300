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
 * The life of one HTTP/2 connection to an address: opened when it is needed, used by all calls and the
 * link, and never opened again once it is over. A later connection is a session of its own, so nothing
 * stops listening to an older one that is still ending.
 */
export default class PeerSession {
  /** Calls the peer's methods over this session. */
  readonly client: Client<typeof Peer>;

  private readonly manager: Http2SessionManager;

  private socket: Socket | undefined;

  private readonly streams = new Set<ClientHttp2Stream>();

  /** Why the socket failed. */
  private failure: Error | undefined;

  /** Known from the first request on. */
  private conn: Http2Session | undefined;

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
    this.client = createClient(Peer, this.transport(baseUrl));
  }

  /** Creates the session for the address, not yet open. */
  static create(
    address: string,
    timer: TimerService,
    connectMs: number,
    tls?: TlsCredentials,
  ): PeerSession {
    return new PeerSession(address, timer, connectMs, tls);
  }

  /** True once the connection has ended or is ending, in good order or not: it takes no new requests. */
  get isClosing(): boolean {
    const { socket, conn, manager } = this;
    if (!socket) return false;
    const isGivenUp = ['closed', 'error'].includes(manager.state());
    return socket.destroyed || isGivenUp || conn?.closed === true || conn?.destroyed === true;
  }

  /** True while there is no socket, before the connection is opened and after its end. */
  get isDisconnected(): boolean {
    return this.socket?.destroyed ?? true;
  }

  /** Opens the connection unless it is open. Resolves to the reason when that fails, else to undefined. */
  async open(signal?: AbortSignal): Promise<string | undefined> {
    if (signal?.aborted) return 'the caller has given up';
    const decided = new AbortController();
    const stop = signal ? AbortSignal.any([signal, decided.signal]) : decided.signal;
    const late = this.timer.sleep(this.connectMs, stop).then(() => 'late' as const);
    const state = await Promise.race([this.manager.connect(), late]);
    decided.abort();
    if (state === 'late') return this.giveUp(signal);
    if (state !== 'error') return undefined;
    this.close();
    const cause = this.manager.error() ?? this.failure;
    return cause instanceof Error ? cause.message : 'the connection has ended';
  }

  /**
   * Ends the connection and all that uses it, at once. The manager hears of it by the socket's end: its
   * own `abort` would stop listening to a connection that failed a moment before, and whose error is
   * still to come.
   */
  close(): void {
    this.socket?.destroy();
  }

  /** Opens the stream of a link, on which nothing has been written. Rejects when there is no connection. */
  async openLink(): Promise<ClientHttp2Stream> {
    const { path, contentType } = LINK_RPC;
    const headers = { 'content-type': contentType, 'connect-protocol-version': '1' };
    const stream = await this.manager.request('POST', path, headers, {});
    this.adopt(stream);
    stream.once('response', ({ ':status': status }) => {
      if (status !== HTTP_OK) stream.destroy(new Error(`the peer has answered with ${status}`));
    });
    this.noteAnswers(stream);
    return stream;
  }

  /** Has the manager know that the peer is there, so that it sends no pings, at the price of a timer each. */
  private noteAnswers(stream: ClientHttp2Stream): void {
    let notedAt = -Infinity;
    stream.on('data', () => {
      const now = this.timer.now();
      if (now - notedAt < NOTE_INTERVAL_MS) return;
      notedAt = now;
      this.manager.notifyResponseByteRead(stream);
    });
  }

  private giveUp(signal?: AbortSignal): string {
    if (signal?.aborted) return 'the caller has given up';
    if (this.manager.state() === 'connecting') this.close();
    return `no connection within ${this.connectMs} ms`;
  }

  /**
   * Called by the manager for a connection. A second one is refused: for a new connection the manager
   * would stop listening to the one before, and the error with which that ends later, when a peer that
   * was gone resets it, would end this process.
   */
  private createConnection(url: URL): Socket {
    if (this.socket) throw new Error('the connection has ended');
    const socket = this.tls ? secured(url, this.tls) : connect(hostAndPort(url, DEFAULT_PORT));
    // When a peer that has said that it stops is lost, Node ends the session without an error, and the
    // library would wait for ever for what is open. These listeners come before Node's own.
    socket.on('error', (cause) => this.fail(cause));
    socket.once('close', () => this.fail(new Error('the connection has ended')));
    this.socket = socket;
    return socket;
  }

  private fail(cause: Error): void {
    this.failure ??= cause;
    this.streams.forEach((stream) => stream.destroy(cause));
  }

  private transport(baseUrl: string) {
    const { manager } = this;
    const sessionManager = {
      authority: manager.authority,
      request: async (...args: Parameters<Http2SessionManager['request']>) => {
        const stream = await manager.request(...args);
        this.adopt(stream);
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

  private adopt(stream: ClientHttp2Stream): void {
    const { session } = stream;
    if (!session) return;
    this.streams.add(stream);
    stream.once('close', () => this.streams.delete(stream));
    // A session that has failed waits to write what is queued before it closes its socket. With a peer
    // that is gone that takes until TCP gives up, so the socket is ended here.
    stream.once('error', () => {
      if (session.destroyed) this.close();
    });
    if (this.conn) return;
    this.conn = session;
    session.once('goaway', () => this.watchEnd(session));
    enlargeSessionWindow(session);
  }

  /**
   * Ends the connection of a peer that stops and then falls silent. Node sends no pings on a session that
   * the peer is closing, so the library's keep-alive ends there; settings are acknowledged as well.
   */
  private watchEnd(session: Http2Session): void {
    let askedAt: number | undefined;
    const look = (): void => {
      const now = this.timer.now();
      const isSilent = askedAt !== undefined && now - askedAt >= KEEP_ALIVE.pingTimeoutMs;
      if (isSilent || session.destroyed) {
        this.close();
        return;
      }
      if (askedAt !== undefined) return;
      askedAt = now;
      session.settings(SESSION_OPTIONS.settings, () => {
        askedAt = undefined;
      });
    };
    const watch = this.timer.every(KEEP_ALIVE.pingIntervalMs, look);
    this.socket?.once('close', () => watch.cancel());
  }
}

function secured(url: URL, tls: TlsCredentials): Socket {
  return connectTls({
    ...tls.current,
    ...hostAndPort(url, DEFAULT_TLS_PORT),
    ALPNProtocols: ['h2'],
    // Processes are known by the authority of their certificates, not by addresses, which change.
    checkServerIdentity: () => undefined,
  });
}

/** How often the manager is told that something has arrived on a link, ms: well below the pause before a ping. */
const NOTE_INTERVAL_MS = 1_000;

const HTTP_OK = 200;

/** The port that a URL of TLS leaves out. */
const DEFAULT_TLS_PORT = 443;
