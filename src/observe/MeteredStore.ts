import type { ResultAsync } from 'neverthrow';
import type PutOptions from '../store/PutOptions';
import type Store from '../store/Store';
import type StoreError from '../store/StoreError';
import type Metrics from './Metrics';

/** A key-value service whose calls are counted by kind and result. */
export default class MeteredStore implements Store {
  private constructor(
    private readonly store: Store,
    private readonly metrics: Metrics,
  ) {}

  /** Wraps a store so that its calls are counted. */
  static over(store: Store, metrics: Metrics): Store {
    return new MeteredStore(store, metrics);
  }

  get(key: string) {
    return this.counted('get', this.store.get(key));
  }

  list(prefix: string) {
    return this.counted('list', this.store.list(prefix));
  }

  put(key: string, value: string, options?: PutOptions) {
    return this.counted('put', this.store.put(key, value, options));
  }

  remove(key: string, expectRevision?: number) {
    return this.counted('remove', this.store.remove(key, expectRevision));
  }

  grantLease(ttlMs: number) {
    return this.counted('grant_lease', this.store.grantLease(ttlMs));
  }

  renewLease(lease: string) {
    return this.counted('renew_lease', this.store.renewLease(lease));
  }

  revokeLease(lease: string) {
    return this.counted('revoke_lease', this.store.revokeLease(lease));
  }

  watch(prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal) {
    return this.counted('watch', this.store.watch(prefix, afterRevision, waitMs, signal));
  }

  private counted<T>(kind: string, call: ResultAsync<T, StoreError>): ResultAsync<T, StoreError> {
    const count = (result: string) => this.metrics.add('store_calls_total', 1, kind, result);
    return call
      .map((value) => {
        count('ok');
        return value;
      })
      .mapErr((error) => {
        count(error.kind);
        return error;
      });
  }
}
