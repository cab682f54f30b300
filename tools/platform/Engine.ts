import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import type Subscription from '../../src/core/Subscription';
import type TimerService from '../../src/core/TimerService';
import type PutOptions from '../../src/store/PutOptions';
import type Store from '../../src/store/Store';
import type StoreChanges from '../../src/store/StoreChanges';
import type StoreError from '../../src/store/StoreError';
import type StoreItem from '../../src/store/StoreItem';
import type CallCounts from './CallCounts';
import EngineClient from './EngineClient';
import type Faults from './Faults';

const MAX_VALUE_BYTES = 1_048_576;

const ABORTED: StoreError = { kind: 'unavailable', reason: 'the watch was ended' };

/**
 * An in-memory stand-in for the platform's key-value service: revisions,
 * compare-and-swap, leases and watches. Its own methods are the store without
 * faults and without counting; processes use the facade that `client` gives.
 */
export default class Engine implements Store {
  private readonly items = new Map<string, OwnedItem>();

  /** Keys that were deleted, each with the revision of its deletion. */
  private readonly tombstones = new Map<string, number>();

  private readonly leases = new Map<string, Lease>();

  private readonly waiters = new Set<Waiter>();

  private readonly clients = new Map<string, EngineClient>();

  private readonly clientFaults = new Map<string, Faults>();

  private faults: Faults = {};

  private revision = 0;

  private leasesGranted = 0;

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty store whose leases and delays follow the timer. */
  static create(timer: TimerService): Engine {
    return new Engine(timer);
  }

  /** The store as one process sees it; the same name gives the same facade. */
  client(name: string): EngineClient {
    const known = this.clients.get(name);
    if (known) return known;
    const client = EngineClient.of(this, this.timer, () => this.faultsFor(name));
    this.clients.set(name, client);
    return client;
  }

  /** Calls made so far, by client and kind. */
  calls(): Record<string, CallCounts> {
    return Object.fromEntries([...this.clients].map(([name, client]) => [name, client.calls]));
  }

  /**
   * Replaces the faults in force, for one client or for everybody. While the
   * whole store is down no lease lapses; on its return each has its full time
   * to live again.
   */
  setFaults(faults: Faults, client?: string): void {
    if (client !== undefined) {
      this.clientFaults.set(client, faults);
      if (faults.down) this.client(client).breakWatches();
      return;
    }
    const wasDown = this.faults.down ?? false;
    this.faults = faults;
    if (faults.down) this.stop();
    if (wasDown && !faults.down) this.leases.forEach((lease) => this.arm(lease));
  }

  get(key: string): ResultAsync<StoreItem | undefined, StoreError> {
    const item = this.items.get(key);
    return okAsync(item && publicItem(item));
  }

  list(prefix: string): ResultAsync<StoreChanges, StoreError> {
    return okAsync({ ...this.changes(prefix, 0), deleted: [] });
  }

  put(key: string, value: string, options: PutOptions = {}): ResultAsync<number, StoreError> {
    const { expectRevision, lease } = options;
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return errAsync({ kind: 'unavailable', reason: `the value of ${key} exceeds a megabyte` });
    }
    const conflict = this.conflict(key, expectRevision);
    if (conflict) return errAsync(conflict);
    if (lease !== undefined && !this.leases.has(lease)) return errAsync(leaseGone(lease));
    this.write(key, value, lease);
    return okAsync(this.revision);
  }

  remove(key: string, expectRevision?: number): ResultAsync<void, StoreError> {
    const conflict = this.conflict(key, expectRevision);
    if (conflict) return errAsync(conflict);
    this.erase([key]);
    return okAsync(undefined);
  }

  grantLease(ttlMs: number): ResultAsync<string, StoreError> {
    this.leasesGranted += 1;
    const lease: Lease = { id: `lease-${this.leasesGranted}`, ttlMs };
    this.leases.set(lease.id, lease);
    this.arm(lease);
    return okAsync(lease.id);
  }

  renewLease(id: string): ResultAsync<void, StoreError> {
    const lease = this.leases.get(id);
    if (!lease) return errAsync(leaseGone(id));
    this.arm(lease);
    return okAsync(undefined);
  }

  revokeLease(id: string): ResultAsync<void, StoreError> {
    if (!this.leases.has(id)) return errAsync(leaseGone(id));
    this.end(id);
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
    if (signal?.aborted) return errAsync(ABORTED);
    return new ResultAsync(this.wait(prefix, afterRevision, waitMs, signal));
  }

  private wait(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<StoreChanges, StoreError>> {
    return new Promise((resolve) => {
      const waiter: Waiter = { prefix, answer };
      const timeout = this.timer.after(waitMs, answer);
      signal?.addEventListener('abort', abort, { once: true });
      this.waiters.add(waiter);

      const finish = (result: Result<StoreChanges, StoreError>): void => {
        this.waiters.delete(waiter);
        timeout.cancel();
        signal?.removeEventListener('abort', abort);
        resolve(result);
      };
      const changes = (): StoreChanges => this.changes(prefix, afterRevision);
      function answer(): void {
        finish(ok(changes()));
      }
      function abort(): void {
        finish(err(ABORTED));
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
    return { revision: this.revision, items: items.map(publicItem), deleted };
  }

  private conflict(key: string, expected: number | undefined): StoreError | undefined {
    if (expected === undefined) return undefined;
    const found = this.items.get(key)?.revision ?? 0;
    if (found === expected) return undefined;
    return { kind: 'conflict', reason: `${key} is at revision ${found}, not ${expected}` };
  }

  private write(key: string, value: string, lease: string | undefined): void {
    this.revision += 1;
    this.tombstones.delete(key);
    this.items.set(key, { key, value, revision: this.revision, lease });
    this.wake([key]);
  }

  private erase(keys: readonly string[]): void {
    const present = keys.filter((key) => this.items.delete(key));
    if (present.length === 0) return;
    this.revision += 1;
    present.forEach((key) => this.tombstones.set(key, this.revision));
    this.wake(present);
  }

  private wake(keys: readonly string[]): void {
    [...this.waiters]
      .filter((waiter) => keys.some((key) => key.startsWith(waiter.prefix)))
      .forEach((waiter) => waiter.answer());
  }

  /** Starts the lease's time to live anew. */
  private arm(lease: Lease): void {
    const target = lease;
    target.lapse?.cancel();
    target.lapse = this.timer.after(lease.ttlMs, () => this.end(lease.id));
  }

  private end(id: string): void {
    this.leases.get(id)?.lapse?.cancel();
    this.leases.delete(id);
    this.erase([...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key));
  }

  private stop(): void {
    this.leases.forEach((lease) => lease.lapse?.cancel());
    this.clients.forEach((client) => client.breakWatches());
  }

  private faultsFor(client: string): Faults {
    const own = this.clientFaults.get(client) ?? {};
    return {
      down: this.faults.down || own.down,
      slowMs: Math.max(this.faults.slowMs ?? 0, own.slowMs ?? 0),
      answerLost: this.faults.answerLost || own.answerLost,
    };
  }
}

interface OwnedItem extends StoreItem {
  readonly lease: string | undefined;
}

interface Lease {
  readonly id: string;
  readonly ttlMs: number;
  lapse?: Subscription;
}

interface Waiter {
  readonly prefix: string;
  readonly answer: () => void;
}

function publicItem({ key, value, revision }: OwnedItem): StoreItem {
  return { key, value, revision };
}

function leaseGone(id: string): StoreError {
  return { kind: 'leaseGone', reason: `${id} has lapsed` };
}
