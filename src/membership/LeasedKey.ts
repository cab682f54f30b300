import { err, ok, type Result } from 'neverthrow';
import type LeaseStore from '../store/LeaseStore';
import type StoreError from '../store/StoreError';

/** Holds one key under a lease of this process, and takes a new lease when the old one lapsed. */
export default class LeasedKey {
  private lease: string | undefined;

  private written = false;

  private constructor(
    private readonly store: LeaseStore,
    private readonly key: string,
    private readonly value: string,
    private readonly ttlMs: number,
  ) {}

  /** Creates a keeper that holds nothing yet. */
  static of(store: LeaseStore, key: string, value: string, ttlMs: number): LeasedKey {
    return new LeasedKey(store, key, value, ttlMs);
  }

  /** Renews the lease, or takes one and writes the key; says whether the key was written anew. */
  async renew(): Promise<Result<'renewed' | 'written', StoreError>> {
    const held = await this.renewOrGrant();
    if (held.isErr()) return err(held.error);
    if (this.written) return ok('renewed');
    const put = await this.store.put(this.key, this.value, { lease: held.value });
    if (put.isErr()) return err(this.noted(put.error));
    this.written = true;
    return ok('written');
  }

  /** Ends the lease, and with it the key. */
  async revoke(): Promise<Result<void, StoreError>> {
    if (this.lease === undefined) return ok(undefined);
    const revoked = await this.store.revokeLease(this.lease);
    if (revoked.isErr()) return err(this.noted(revoked.error));
    this.forget();
    return ok(undefined);
  }

  private async renewOrGrant(): Promise<Result<string, StoreError>> {
    if (this.lease !== undefined) {
      const renewed = await this.store.renewLease(this.lease);
      if (renewed.isOk()) return ok(this.lease);
      if (this.noted(renewed.error).kind !== 'leaseGone') return err(renewed.error);
    }
    const granted = await this.store.grantLease(this.ttlMs);
    if (granted.isOk()) this.lease = granted.value;
    return granted;
  }

  private noted(error: StoreError): StoreError {
    if (error.kind === 'leaseGone') this.forget();
    return error;
  }

  private forget(): void {
    this.lease = undefined;
    this.written = false;
  }
}
