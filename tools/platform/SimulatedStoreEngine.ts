import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';
import type PutOptions from '../../src/store/PutOptions';
import type Store from '../../src/store/Store';
import type StoreChanges from '../../src/store/StoreChanges';
import type StoreError from '../../src/store/StoreError';
import type StoreItem from '../../src/store/StoreItem';
import type CallCounts from './CallCounts';
import SimulatedStoreClient from './SimulatedStoreClient';
import type StoreFaults from './StoreFaults';

const MAX_VALUE_BYTES = 1_048_576;

const WATCH_ABORTED: StoreError = { kind: 'unavailable', reason: 'the watch was ended' };

/**
 * Simulates the platform's key-value service in memory: revisions,
 * compare-and-swap, leases and watches. Its own methods access the store without
 * faults and without counting; processes use the clients that `client` returns.
 */
export default class SimulatedStoreEngine implements Store {
  private readonly items = new Map<string, StoredItem>();

  /** Deleted keys, each with the revision of its deletion. */
  private readonly tombstones = new Map<string, number>();

  private readonly leases = new Map<string, Lease>();

  private readonly pendingWatches = new Set<PendingWatch>();

  private readonly clients = new Map<string, SimulatedStoreClient>();

  private readonly clientFaults = new Map<string, StoreFaults>();

  private faults: StoreFaults = {};

  /** Revision of the latest change. */
  private revision = 0;

  private leasesGranted = 0;

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty store whose leases and delays follow the timer. */
  static create(timer: TimerService): SimulatedStoreEngine {
    return new SimulatedStoreEngine(timer);
  }

  /** Access to the store for one process; the same name gives the same client. */
  client(name: string): SimulatedStoreClient {
    const existing = this.clients.get(name);
    if (existing) return existing;
    const client = SimulatedStoreClient.of(this, this.timer, () => this.faultsFor(name));
    this.clients.set(name, client);
    return client;
  }

  /** Calls made so far, by client and kind. */
  calls(): Record<string, CallCounts> {
    return Object.fromEntries([...this.clients].map(([name, client]) => [name, client.calls]));
  }

  /**
   * Replaces the active faults, for one client or for all. While the whole store
   * is down no lease expires; when it is up again, the TTL of each lease restarts
   * in full.
   */
  setFaults(faults: StoreFaults, client?: string): void {
    if (client !== undefined) {
      this.clientFaults.set(client, faults);
      if (faults.down) this.client(client).breakWatches();
      return;
    }
    const wasDown = this.faults.down ?? false;
    this.faults = faults;
    if (faults.down) this.goDown();
    if (wasDown && !faults.down) this.leases.forEach((lease) => this.restartTtl(lease));
  }

  get(key: string): ResultAsync<StoreItem | undefined, StoreError> {
    const item = this.items.get(key);
    return okAsync(item && toStoreItem(item));
  }

  list(prefix: string): ResultAsync<StoreChanges, StoreError> {
    return okAsync({ ...this.changes(prefix, 0), deleted: [] });
  }

  put(key: string, value: string, options: PutOptions = {}): ResultAsync<number, StoreError> {
    const { expectRevision, lease } = options;
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return errAsync({ kind: 'unavailable', reason: `the value of ${key} exceeds a megabyte` });
    }
    const conflict = this.findConflict(key, expectRevision);
    if (conflict) return errAsync(conflict);
    if (lease !== undefined && !this.leases.has(lease)) return errAsync(leaseGoneError(lease));
    this.write(key, value, lease);
    return okAsync(this.revision);
  }

  remove(key: string, expectRevision?: number): ResultAsync<void, StoreError> {
    const conflict = this.findConflict(key, expectRevision);
    if (conflict) return errAsync(conflict);
    this.erase([key]);
    return okAsync(undefined);
  }

  grantLease(ttlMs: number): ResultAsync<string, StoreError> {
    this.leasesGranted += 1;
    const lease: Lease = { id: `lease-${this.leasesGranted}`, ttlMs };
    this.leases.set(lease.id, lease);
    this.restartTtl(lease);
    return okAsync(lease.id);
  }

  renewLease(id: string): ResultAsync<void, StoreError> {
    const lease = this.leases.get(id);
    if (!lease) return errAsync(leaseGoneError(id));
    this.restartTtl(lease);
    return okAsync(undefined);
  }

  revokeLease(id: string): ResultAsync<void, StoreError> {
    if (!this.leases.has(id)) return errAsync(leaseGoneError(id));
    this.endLease(id);
    return okAsync(undefined);
  }

  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, StoreError> {
    const changes = this.changes(prefix, afterRevision);
    if (changes.items.length > 0 || changes.deleted.length > 0) return okAsync(changes);
    if (signal?.aborted) return errAsync(WATCH_ABORTED);
    return new ResultAsync(this.waitForChanges(prefix, afterRevision, waitMs, signal));
  }

  private waitForChanges(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<StoreChanges, StoreError>> {
    return new Promise((resolve) => {
      const watch: PendingWatch = { prefix, answer };
      const timeout = this.timer.after(waitMs, answer);
      signal?.addEventListener('abort', abort, { once: true });
      this.pendingWatches.add(watch);

      const finish = (result: Result<StoreChanges, StoreError>): void => {
        this.pendingWatches.delete(watch);
        timeout.cancel();
        signal?.removeEventListener('abort', abort);
        resolve(result);
      };
      const changes = (): StoreChanges => this.changes(prefix, afterRevision);
      function answer(): void {
        finish(ok(changes()));
      }
      function abort(): void {
        finish(err(WATCH_ABORTED));
      }
    });
  }

  private changes(prefix: string, after: number): StoreChanges {
    const items = [...this.items.values()].filter(
      (item) => item.key.startsWith(prefix) && item.revision > after,
    );
    const deleted = [...this.tombstones]
      .filter(([key, revision]) => key.startsWith(prefix) && revision > after)
      .map(([key]) => key);
    return { revision: this.revision, items: items.map(toStoreItem), deleted };
  }

  private findConflict(key: string, expected: number | undefined): StoreError | undefined {
    if (expected === undefined) return undefined;
    const found = this.items.get(key)?.revision ?? 0;
    if (found === expected) return undefined;
    return { kind: 'conflict', reason: `${key} is at revision ${found}, not ${expected}` };
  }

  private write(key: string, value: string, lease: string | undefined): void {
    this.revision += 1;
    this.tombstones.delete(key);
    this.items.set(key, { key, value, revision: this.revision, lease });
    this.notifyWatches([key]);
  }

  private erase(keys: readonly string[]): void {
    const present = keys.filter((key) => this.items.delete(key));
    if (present.length === 0) return;
    this.revision += 1;
    present.forEach((key) => this.tombstones.set(key, this.revision));
    this.notifyWatches(present);
  }

  private notifyWatches(keys: readonly string[]): void {
    [...this.pendingWatches]
      .filter((watch) => keys.some((key) => key.startsWith(watch.prefix)))
      .forEach((watch) => watch.answer());
  }

  /** Restarts the TTL of a lease. */
  private restartTtl(lease: Lease): void {
    const target = lease;
    target.expiryTimer?.cancel();
    target.expiryTimer = this.timer.after(lease.ttlMs, () => this.endLease(lease.id));
  }

  private endLease(id: string): void {
    this.leases.get(id)?.expiryTimer?.cancel();
    this.leases.delete(id);
    this.erase([...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key));
  }

  private goDown(): void {
    this.leases.forEach((lease) => lease.expiryTimer?.cancel());
    this.clients.forEach((client) => client.breakWatches());
  }

  private faultsFor(client: string): StoreFaults {
    const own = this.clientFaults.get(client) ?? {};
    return {
      down: this.faults.down || own.down,
      slowMs: Math.max(this.faults.slowMs ?? 0, own.slowMs ?? 0),
      answerLost: this.faults.answerLost || own.answerLost,
    };
  }
}

interface StoredItem extends StoreItem {
  readonly lease: string | undefined;
}

interface Lease {
  readonly id: string;
  readonly ttlMs: number;
  expiryTimer?: Subscription;
}

interface PendingWatch {
  readonly prefix: string;
  readonly answer: () => void;
}

function toStoreItem({ key, value, revision }: StoredItem): StoreItem {
  return { key, value, revision };
}

function leaseGoneError(id: string): StoreError {
  return { kind: 'leaseGone', reason: `${id} has lapsed` };
}
