import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type BackendAnswer from './BackendAnswer';
import type BackendCall from './BackendCall';

/** An HTTP connection to a backend server that carries one task at a time. */
export default class BackendConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  private constructor(address: string) {
    const connect = buildConnector({});
    this.client = new Client(`http://${address}`, {
      connect: (opts, callback) => {
        connect(opts, (...args) => {
          if (args[1]) [, this.socket] = args;
          callback(...args);
        });
      },
      // The sidecar applies task timeouts itself; a timeout does not end the request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Creates a connection to "ip:port" that opens with its first task. */
  static create(address: string): BackendConnection {
    return new BackendConnection(address);
  }

  /**
   * Sends a task and returns the answer; rejects when the connection fails. The
   * signal half-closes the connection: the backend server is known to have
   * stopped once it closes its side.
   */
  async post(call: BackendCall, signal: AbortSignal): Promise<BackendAnswer> {
    const onAbort = (): void => this.halfClose();
    signal.addEventListener('abort', onAbort, { once: true });
    try {
      return await this.request(call);
    } finally {
      signal.removeEventListener('abort', onAbort);
    }
  }

  /** Closes the connection; a task in flight on it fails. */
  close(): void {
    this.client.destroy().catch(() => undefined);
  }

  private async request(call: BackendCall): Promise<BackendAnswer> {
    const res = await this.client.request({
      method: 'POST',
      path: '/tasks',
      headers: headersOf(call),
      body: call.input,
    });
    const output = new Uint8Array(await res.body.arrayBuffer());
    const ok = res.statusCode >= 200 && res.statusCode < 300;
    return { ok, output, reason: ok ? '' : `backend server answered ${res.statusCode}` };
  }

  private halfClose(): void {
    if (this.socket) this.socket.end();
    else this.close();
  }
}

function headersOf(call: BackendCall): Record<string, string> {
  const headers = {
    'content-type': 'application/json',
    'x-task': call.task,
    'x-timeout-ms': String(call.timeoutMs),
  };
  return call.traceparent ? { ...headers, traceparent: call.traceparent } : headers;
}
