import { ResultAsync } from 'neverthrow';
import type Announcement from './Announcement';
import type BackendAnswer from './BackendAnswer';
import type BackendCall from './BackendCall';
import type BackendClient from './BackendClient';
import BackendConnection from './BackendConnection';
import type BackendError from './BackendError';

/** Errors of a connection that was never established, so that no request was sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Calls a backend server over HTTP, one request per task. Each running task has
 * its own connection, so there are at most as many as slots; an announcement
 * never has more slots than connections.
 */
export default class UndiciBackendClient implements BackendClient {
  /** Idle connections of the backend servers in use, by address; the most recently used is last. */
  private readonly idle = new Map<string, BackendConnection[]>();

  private constructor() {}

  /** Creates a client without connections. */
  static create(): UndiciBackendClient {
    return new UndiciBackendClient();
  }

  run(
    backend: Announcement,
    call: BackendCall,
    signal: AbortSignal,
  ): ResultAsync<BackendAnswer, BackendError> {
    return ResultAsync.fromPromise(this.post(backend.address, call, signal), toBackendError);
  }

  closeIdle(backend: Announcement): void {
    this.idle.get(backend.address)?.forEach((connection) => connection.close());
    this.idle.delete(backend.address);
  }

  private async post(
    address: string,
    call: BackendCall,
    signal: AbortSignal,
  ): Promise<BackendAnswer> {
    const idle = this.idle.get(address) ?? [];
    this.idle.set(address, idle);
    const connection = idle.pop() ?? BackendConnection.create(address);
    let isReusable = false;
    try {
      const answer = await connection.post(call, signal);
      isReusable = !signal.aborted && this.idle.get(address) === idle;
      return answer;
    } finally {
      if (isReusable) idle.push(connection);
      else connection.close();
    }
  }
}

function toBackendError(cause: unknown): BackendError {
  const { code, message } = cause as { code?: string; message?: string };
  const kind = code !== undefined && UNSENT_CODES.has(code) ? 'unsent' : 'lost';
  return { kind, reason: message ?? String(cause) };
}
