import { err, ok, type Result } from 'neverthrow';
import type LeaseStore from '../store/LeaseStore';
import type StoreError from '../store/StoreError';

/**
 * Maintains one store key under a lease of this process. When the lease expires, a new one is granted and the
 * key is rewritten.
 */
export default class LeasedKey {
  private lease: string | undefined;

  private isWritten = false;

  private constructor(
    private readonly store: LeaseStore,
    private readonly key: string,
    private readonly value: string,
    private readonly ttlMs: number,
  ) {}

  /** Creates the key without writing it or asking for a lease. */
  static of(store: LeaseStore, key: string, value: string, ttlMs: number): LeasedKey {
    return new LeasedKey(store, key, value, ttlMs);
  }

  /** Renews the lease, or obtains one and writes the key. Returns which of the two it did. */
  async renew(): Promise<Result<'renewed' | 'written', StoreError>> {
    const lease = await this.renewOrGrantLease();
    if (lease.isErr()) return err(lease.error);
    if (this.isWritten) return ok('renewed');
    const put = await this.store.put(this.key, this.value, { lease: lease.value });
    if (put.isErr()) return err(this.handleError(put.error));
    this.isWritten = true;
    return ok('written');
  }

  /** Revokes the lease, which deletes the key. */
  async revoke(): Promise<Result<void, StoreError>> {
    if (this.lease === undefined) return ok(undefined);
    const revoked = await this.store.revokeLease(this.lease);
    if (revoked.isErr()) return err(this.handleError(revoked.error));
    this.reset();
    return ok(undefined);
  }

  private async renewOrGrantLease(): Promise<Result<string, StoreError>> {
    if (this.lease !== undefined) {
      const renewed = await this.store.renewLease(this.lease);
      if (renewed.isOk()) return ok(this.lease);
      if (this.handleError(renewed.error).kind !== 'leaseGone') return err(renewed.error);
    }
    const granted = await this.store.grantLease(this.ttlMs);
    if (granted.isOk()) this.lease = granted.value;
    return granted;
  }

  private handleError(error: StoreError): StoreError {
    if (error.kind === 'leaseGone') this.reset();
    return error;
  }

  private reset(): void {
    this.lease = undefined;
    this.isWritten = false;
  }
}
