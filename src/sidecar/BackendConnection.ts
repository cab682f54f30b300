import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type BackendAnswer from './BackendAnswer';
import type BackendCall from './BackendCall';

/** One connection to a backend server, for one task at a time. */
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
      // The timeouts of tasks are the sidecar's, and do not end the request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Creates a connection that opens with its first task. */
  static to(address: string): BackendConnection {
    return new BackendConnection(address);
  }

  /**
   * Hands over a task and returns the answer. The signal only ends this side of
   * the connection: the backend server is seen to stop when it ends its own.
   */
  async post(call: BackendCall, signal: AbortSignal): Promise<BackendAnswer> {
    const hangUp = (): void => this.hangUp();
    signal.addEventListener('abort', hangUp, { once: true });
    try {
      return await this.request(call);
    } finally {
      signal.removeEventListener('abort', hangUp);
    }
  }

  /** Closes the connection; a task on it is lost. */
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

  private hangUp(): void {
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
