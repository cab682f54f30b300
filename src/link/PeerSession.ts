import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { ClientHttp2Stream } from 'node:http2';
import { connect } from 'node:tls';
import type TimerService from '../core/TimerService';
import { Peer } from '../gen/magnoliakeel/v1/peer_pb';
import MESSAGE_LIMITS from './MESSAGE_LIMITS';
import SESSION_OPTIONS from './SESSION_OPTIONS';
import type TlsCredentials from './TlsCredentials';
import widenWindow from './widenWindow';

const KEEP_ALIVE = {
  pingIntervalMs: 5000,
  pingTimeoutMs: 10_000,
  idleConnectionTimeoutMs: 60_000,
};

/** The one HTTP/2 session to an address, opened when it is needed and used by all calls and the link. */
export default class PeerSession {
  /** Calls the peer's methods over this session. */
  readonly client: Client<typeof Peer>;

  private readonly manager: Http2SessionManager;

  private readonly widened = new WeakSet<object>();

  private constructor(
    address: string,
    private readonly timer: TimerService,
    private readonly connectMs: number,
    tls: TlsCredentials | undefined,
  ) {
    const baseUrl = `${tls ? 'https' : 'http'}://${address}`;
    const options = tls ? { ...SESSION_OPTIONS, ...securedBy(tls) } : SESSION_OPTIONS;
    this.manager = new Http2SessionManager(baseUrl, KEEP_ALIVE, options);
    this.client = createClient(Peer, this.transport(baseUrl));
  }

  /** Creates the session for the address, not yet open. */
  static to(
    address: string,
    timer: TimerService,
    connectMs: number,
    tls?: TlsCredentials,
  ): PeerSession {
    return new PeerSession(address, timer, connectMs, tls);
  }

  /** True while no connection is open or being opened. */
  get unused(): boolean {
    return ['closed', 'error'].includes(this.manager.state());
  }

  /** Opens the connection when there is none. Resolves to the reason when that fails, else to undefined. */
  async open(signal?: AbortSignal): Promise<string | undefined> {
    if (signal?.aborted) return 'the caller has given up';
    const decided = new AbortController();
    const stop = signal ? AbortSignal.any([signal, decided.signal]) : decided.signal;
    const late = this.timer.sleep(this.connectMs, stop).then(() => 'late' as const);
    const state = await Promise.race([this.manager.connect(), late]);
    decided.abort();
    if (state === 'late') return this.giveUp(signal);
    return state === 'error' ? reasonOf(this.manager.error()) : undefined;
  }

  /** Ends the connection and all that uses it. */
  close(): void {
    this.manager.abort();
  }

  private giveUp(signal?: AbortSignal): string {
    if (signal?.aborted) return 'the caller has given up';
    if (this.manager.state() === 'connecting') this.manager.abort();
    return `no connection within ${this.connectMs} ms`;
  }

  private transport(baseUrl: string) {
    const { manager } = this;
    const sessionManager = {
      authority: manager.authority,
      request: async (...args: Parameters<Http2SessionManager['request']>) => {
        const stream = await manager.request(...args);
        this.widenOnce(stream);
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

  private widenOnce({ session }: ClientHttp2Stream): void {
    if (!session || this.widened.has(session)) return;
    this.widened.add(session);
    widenWindow(session);
  }
}

/** Each connection takes the credentials of its time. */
function securedBy(tls: TlsCredentials) {
  return {
    createConnection: ({ hostname, port }: URL) =>
      connect({
        ...tls.current,
        host: hostname.replace(/^\[|\]$/g, ''),
        port: Number(port || DEFAULT_TLS_PORT),
        ALPNProtocols: ['h2'],
        // Processes are known by the authority of their certificates, not by addresses, which change.
        checkServerIdentity: () => undefined,
      }),
  };
}

/** A URL leaves this port out. */
const DEFAULT_TLS_PORT = 443;

function reasonOf(failure: unknown): string {
  return failure instanceof Error ? failure.message : 'the connection was closed';
}
