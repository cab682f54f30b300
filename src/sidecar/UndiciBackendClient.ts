import { ResultAsync } from 'neverthrow';
import { Pool } from 'undici';
import type Announcement from './Announcement';
import type BackendAnswer from './BackendAnswer';
import type BackendCall from './BackendCall';
import type BackendClient from './BackendClient';
import type BackendError from './BackendError';

/** Errors of a connection that was never there, so that no request can have left on it. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Reaches a backend server by HTTP, one request a task, within its connections. */
export default class UndiciBackendClient implements BackendClient {
  private readonly pools = new Map<string, Pool>();

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
    return ResultAsync.fromPromise(post(this.pool(backend), call, signal), errorOf);
  }

  forget(backend: Announcement): void {
    const pool = this.pools.get(backend.address);
    this.pools.delete(backend.address);
    pool?.close().catch(() => undefined);
  }

  private pool(backend: Announcement): Pool {
    const known = this.pools.get(backend.address);
    if (known) return known;
    const pool = new Pool(`http://${backend.address}`, {
      connections: backend.connections,
      // The timeouts of tasks are the sidecar's, and do not end the request.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(backend.address, pool);
    return pool;
  }
}

async function post(pool: Pool, call: BackendCall, signal: AbortSignal): Promise<BackendAnswer> {
  const res = await pool.request({
    method: 'POST',
    path: '/tasks',
    headers: headersOf(call),
    body: call.input,
    signal,
  });
  const output = new Uint8Array(await res.body.arrayBuffer());
  const ok = res.statusCode >= 200 && res.statusCode < 300;
  return { ok, output, reason: ok ? '' : `backend server answered ${res.statusCode}` };
}

function headersOf(call: BackendCall): Record<string, string> {
  const headers = {
    'content-type': 'application/json',
    'x-task': call.task,
    'x-timeout-ms': String(call.timeoutMs),
  };
  return call.traceparent ? { ...headers, traceparent: call.traceparent } : headers;
}

function errorOf(cause: unknown): BackendError {
  const { code, message } = cause as { code?: string; message?: string };
  const kind = code !== undefined && UNSENT_CODES.has(code) ? 'unsent' : 'lost';
  return { kind, reason: message ?? String(cause) };
}
