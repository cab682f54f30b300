import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Pool, type Dispatcher } from 'undici';
import type HttpStoreOptions from './HttpStoreOptions';
import type PutOptions from './PutOptions';
import type Store from './Store';
import type StoreChanges from './StoreChanges';
import type StoreError from './StoreError';
import type StoreItem from './StoreItem';
import TokenBucket from './TokenBucket';

const MAX_CONNECTIONS = 8;

/** How much longer than it should the service may take to answer a watch, ms. */
const WATCH_TIMEOUT_MS = 1_000;

const ERROR_KINDS: Readonly<Record<number, StoreError['kind']>> = {
  409: 'conflict',
  410: 'leaseGone',
};

/**
 * Client of the platform's key-value service: HTTP with JSON bodies. Every failure
 * without a definite answer is `unavailable`: a write may have taken effect, or
 * may still take effect later.
 */
export default class HttpStore implements Store {
  private pool: Pool;

  /** Pools that are closing, over which calls may still be under way. */
  private readonly replacedPools = new Set<Pool>();

  private readonly rateLimiter: TokenBucket;

  private constructor(private readonly options: HttpStoreOptions) {
    this.pool = createPool(options.url);
    const { timer, callsPerSecond } = options;
    this.rateLimiter = TokenBucket.of(timer, callsPerSecond);
  }

  /** Creates the client; it connects with the first call. */
  static create(options: HttpStoreOptions): HttpStore {
    return new HttpStore(options);
  }

  /** Closes all connections; pending calls fail as `unavailable`. */
  async close(): Promise<void> {
    await Promise.all([this.pool, ...this.replacedPools].map((pool) => pool.destroy()));
  }

  get(key: string): ResultAsync<StoreItem | undefined, StoreError> {
    return this.call<StoreItem | undefined>({
      method: 'GET',
      path: keyPath(key),
      allowsMissing: true,
    });
  }

  list(prefix: string): ResultAsync<StoreChanges, StoreError> {
    return this.call({ method: 'GET', path: `/v1/keys?${query({ prefix })}` });
  }

  put(key: string, value: string, options: PutOptions = {}): ResultAsync<number, StoreError> {
    const { expectRevision, lease } = options;
    return this.call<{ revision: number }>({
      method: 'PUT',
      path: keyPath(key),
      body: { value, expectRevision, lease },
    }).map(({ revision }) => revision);
  }

  remove(key: string, expectRevision?: number): ResultAsync<void, StoreError> {
    const path = `${keyPath(key)}?${query({ expectRevision })}`;
    return this.call({ method: 'DELETE', path }).map(() => undefined);
  }

  grantLease(ttlMs: number): ResultAsync<string, StoreError> {
    const call: Call = { method: 'POST', path: '/v1/leases', body: { ttlMs } };
    return this.call<{ id: string }>(call).map(({ id }) => id);
  }

  renewLease(lease: string): ResultAsync<void, StoreError> {
    const path = `${leasePath(lease)}/renew`;
    return this.call({ method: 'POST', path }).map(() => undefined);
  }

  revokeLease(lease: string): ResultAsync<void, StoreError> {
    return this.call({ method: 'DELETE', path: leasePath(lease) }).map(() => undefined);
  }

  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, StoreError> {
    const path = `/v1/watch?${query({ prefix, after: afterRevision, waitMs })}`;
    const timeoutMs = Math.min(this.options.timeoutMs, WATCH_TIMEOUT_MS);
    return this.call({ method: 'GET', path, timeoutMs: waitMs + timeoutMs, signal });
  }

  private call<T>(call: Call): ResultAsync<T, StoreError> {
    return new ResultAsync(this.callWithinRate(call));
  }

  private async callWithinRate<T>(call: Call): Promise<Result<T, StoreError>> {
    const { timer, timeoutMs } = this.options;
    const delayMs = this.rateLimiter.take(timeoutMs);
    if (delayMs === undefined)
      return err(unavailable('the call rate is used up; nothing was sent'));
    if (delayMs > 0) await timer.sleep(delayMs, call.signal);
    if (call.signal?.aborted) return err(unavailable('aborted'));
    return this.callWithTimeout(call);
  }

  private async callWithTimeout<T>(call: Call): Promise<Result<T, StoreError>> {
    const { timer, timeoutMs } = this.options;
    const { pool } = this;
    const timeoutController = new AbortController();
    const abort = (): void => timeoutController.abort(new Error('aborted'));
    const timeout = timer.after(call.timeoutMs ?? timeoutMs, () => {
      this.replacePool(pool);
      timeoutController.abort(new Error('timeout'));
    });
    call.signal?.addEventListener('abort', abort, { once: true });
    try {
      return await this.send<T>(call, timeoutController.signal);
    } catch (cause) {
      return err(unavailable(cause instanceof Error ? cause.message : String(cause)));
    } finally {
      timeout.cancel();
      call.signal?.removeEventListener('abort', abort);
    }
  }

  /**
   * Has later calls use new connections after one was not answered: open connections may go silent all at once. Calls
   * that are under way are finished over the old ones.
   */
  private replacePool(used: Pool): void {
    if (this.pool !== used) return;
    this.pool = createPool(this.options.url);
    this.replacedPools.add(used);
    const remove = (): boolean => this.replacedPools.delete(used);
    used.close().then(remove, remove);
  }

  private async send<T>(call: Call, signal: AbortSignal): Promise<Result<T, StoreError>> {
    const { statusCode, body } = await this.pool.request({
      method: call.method,
      path: call.path,
      headers: { 'x-client': this.options.client, 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
    });
    const answer = await body.text();
    if (statusCode === 200) return ok(JSON.parse(answer) as T);
    if (statusCode === 404 && call.allowsMissing) return ok(undefined as T);
    const kind = ERROR_KINDS[statusCode] ?? 'unavailable';
    return err({ kind, reason: `status ${statusCode}: ${answer}` });
  }
}

interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
  /** A missing key (status 404) is a result, not an error. */
  readonly allowsMissing?: boolean;
  /** Time-out, ms; that of the options by default. */
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Time-outs are enforced with the timer service, so those of the pool are disabled. */
function createPool(url: string): Pool {
  return new Pool(url, { connections: MAX_CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 });
}

function unavailable(reason: string): StoreError {
  return { kind: 'unavailable', reason };
}

function keyPath(key: string): string {
  return `/v1/keys/${encodeURIComponent(key)}`;
}

function leasePath(lease: string): string {
  return `/v1/leases/${encodeURIComponent(lease)}`;
}

function query(values: Readonly<Record<string, string | number | undefined>>): string {
  const params = new URLSearchParams();
  Object.entries(values).forEach(([name, value]) => {
    if (value !== undefined) params.set(name, String(value));
  });
  return params.toString();
}
