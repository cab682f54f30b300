import { err, ok, Result, type ResultAsync } from 'neverthrow';
import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';
import type LeaseStore from '../store/LeaseStore';
import type StoreChanges from '../store/StoreChanges';
import type StoreError from '../store/StoreError';
import CANCELLATION_RETENTION_MS from './CANCELLATION_RETENTION_MS';

interface StoredCancellationsOptions {
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly store: Pick<LeaseStore, 'put' | 'grantLease'> & {
    list(prefix: string, answerMs?: number): ResultAsync<StoreChanges, { readonly reason: string }>;
  };
  /** Unique for each start of the process; part of its keys. */
  readonly incarnation: string;
}

/** An id that is to be stored. */
interface UnsavedId {
  readonly addedAt: number;
  /** Aborted when the id is stored. */
  readonly saved: AbortController;
}

/** A lease of this process, and the ids stored under it with the times at which they were added. */
interface CurrentLease {
  readonly id: string;
  readonly grantedAt: number;
  readonly ids: Map<string, number>;
}

/** The key that further ids are added to. */
interface CurrentKey {
  readonly name: string;
  readonly ids: readonly string[];
  readonly revision: number;
}

/**
 * Keeps the cancellations that callers request from this entry in the store, so that they outlast the loss of all
 * entries. Several ids share a key, since calls to the store are metered. Keys are removed by the end of their
 * leases, which nobody renews.
 */
export default class StoredCancellations {
  private readonly unsaved = new Map<string, UnsavedId>();

  /** Ids that other entries know of, until it is known which of them are stored. */
  private readonly keptIds = new Set<string>();

  private lease: CurrentLease | undefined;

  private key: CurrentKey | undefined;

  private keyCount = 0;

  private waiting = 0;

  private isSaving = false;

  private isFailing = false;

  private readonly loadDeadline: number;

  private readonly loaded = new AbortController();

  private readonly stopped = new AbortController();

  private constructor(private readonly opts: StoredCancellationsOptions) {
    this.loadDeadline = opts.timer.now() + MAX_LOAD_WAIT_MS;
  }

  /** Creates an instance that makes no call before `load` or `save`. */
  static create(opts: StoredCancellationsOptions): StoredCancellations {
    return new StoredCancellations(opts);
  }

  /** Number of calls of `save` that have not resolved. */
  get waitingCount(): number {
    return this.waiting;
  }

  /** Reads the ids that all entries have stored; tries until the store answers. */
  async load(onCancelled: (id: string) => void): Promise<void> {
    const { timer, store, log } = this.opts;
    while (!this.stopped.signal.aborted) {
      const listed = await store.list(KEY_PREFIX, LIST_TIMEOUT_MS);
      if (listed.isOk()) {
        const ids = listed.value.items.flatMap(({ value }) => decodeIds(value));
        log.info('read the stored cancellations', { cancellations: ids.length });
        ids.forEach((id) => {
          this.keptIds.delete(id);
          onCancelled(id);
        });
        this.loaded.abort();
        return;
      }
      await timer.sleep(RETRY_DELAY_MS, this.stopped.signal);
    }
  }

  /** Resolves once the stored ids were read, `done` aborts, or reading them takes too long. */
  async whenLoaded(done: AbortSignal): Promise<void> {
    const leftMs = this.loadDeadline - this.opts.timer.now();
    if (leftMs <= 0 || this.loaded.signal.aborted) return;
    await this.opts.timer.sleep(leftMs, AbortSignal.any([done, this.loaded.signal]));
  }

  /**
   * Stores an id that other entries know of. It is called after a restart: the entry that was asked for it may have been
   * lost before it could store it.
   */
  keep(id: string): void {
    this.keptIds.add(id);
    this.startSaving();
  }

  /** Resolves to true once the id is stored, or to false after a time-out; it is then stored as soon as possible. */
  async save(id: string): Promise<boolean> {
    const { timer, log } = this.opts;
    const saved = this.unsaved.get(id)?.saved ?? new AbortController();
    this.unsaved.set(id, { addedAt: timer.now(), saved });
    this.startSaving();
    this.waiting += 1;
    await timer.sleep(MAX_SAVE_WAIT_MS, saved.signal);
    this.waiting -= 1;
    const isSaved = saved.signal.aborted;
    if (!isSaved) log.warn('a cancellation could not be stored in time', { request: id });
    return isSaved;
  }

  /** Makes no further calls. */
  stop(): void {
    this.stopped.abort();
  }

  private startSaving(): void {
    if (this.isSaving) return;
    this.isSaving = true;
    this.saveAll()
      .catch((error: unknown) => this.opts.log.warn('cancellations could not be stored', { error }))
      .finally(() => {
        this.isSaving = false;
      });
  }

  private async saveAll(): Promise<void> {
    await this.whenLoaded(this.stopped.signal);
    this.queueKeptIds();
    while (this.unsaved.size > 0 && !this.stopped.signal.aborted) {
      const failure = (await this.saveNext()).match(
        () => undefined,
        (error) => this.handleFailure(error),
      );
      this.logReachability(failure);
      const delayMs = failure === undefined ? WRITE_INTERVAL_MS : RETRY_DELAY_MS;
      await this.opts.timer.sleep(delayMs, this.stopped.signal);
      this.dropExpired();
      this.queueKeptIds();
    }
  }

  private queueKeptIds(): void {
    const addedAt = this.opts.timer.now();
    this.keptIds.forEach((id) => {
      if (!this.unsaved.has(id)) this.unsaved.set(id, { addedAt, saved: new AbortController() });
    });
    this.keptIds.clear();
  }

  /** Adds as many ids as fit to the current key. */
  private async saveNext(): Promise<Result<void, StoreError>> {
    const leased = await this.currentLease();
    if (leased.isErr()) return err(leased.error);
    const lease = leased.value;
    const key = this.currentKey();
    const added = [...this.unsaved].slice(0, MAX_IDS_PER_KEY - key.ids.length);
    const ids = [...key.ids, ...added.map(([id]) => id)];
    // A write without an answer may take effect late; the condition keeps it from replacing a newer one.
    const options = { expectRevision: key.revision, lease: lease.id };
    const put = await this.opts.store.put(key.name, JSON.stringify(ids), options);
    if (put.isErr()) return err(put.error);
    this.key = { ...key, ids, revision: put.value };
    added.forEach(([id, { addedAt, saved }]) => {
      lease.ids.set(id, addedAt);
      this.unsaved.delete(id);
      saved.abort();
    });
    return ok(undefined);
  }

  private async currentLease(): Promise<Result<CurrentLease, StoreError>> {
    const { timer, store } = this.opts;
    const now = timer.now();
    if (this.lease && now - this.lease.grantedAt < LEASE_USE_MS) return ok(this.lease);
    this.key = undefined;
    const granted = await store.grantLease(LEASE_TTL_MS);
    return granted.map((id) => {
      this.lease = { id, grantedAt: now, ids: new Map() };
      return this.lease;
    });
  }

  private currentKey(): CurrentKey {
    if (this.key && this.key.ids.length < MAX_IDS_PER_KEY) return this.key;
    this.keyCount += 1;
    const name = `${KEY_PREFIX}${this.opts.incarnation}/${this.keyCount}`;
    return { name, ids: [], revision: 0 };
  }

  /** Begins a new key, since it is unknown what the current one holds. Returns the reason of the failure. */
  private handleFailure({ kind, reason }: StoreError): string {
    this.key = undefined;
    if (kind !== 'leaseGone') return reason;
    this.lease?.ids.forEach((addedAt, id) => {
      if (!this.unsaved.has(id)) this.unsaved.set(id, { addedAt, saved: new AbortController() });
    });
    this.lease = undefined;
    return reason;
  }

  private logReachability(failure: string | undefined): void {
    const { log } = this.opts;
    const isFailing = failure !== undefined;
    const unsaved = this.unsaved.size;
    if (isFailing && !this.isFailing) {
      log.warn('cancellations cannot be stored; retrying', { reason: failure, unsaved });
    }
    if (!isFailing && this.isFailing) log.info('cancellations are stored again', { unsaved });
    this.isFailing = isFailing;
  }

  private dropExpired(): void {
    const oldest = this.opts.timer.now() - CANCELLATION_RETENTION_MS;
    this.unsaved.forEach(({ addedAt }, id) => {
      if (addedAt <= oldest) this.unsaved.delete(id);
    });
  }
}

/** The ids in a key's value; none if the value is invalid. */
function decodeIds(value: string): readonly string[] {
  const decoded = Result.fromThrowable(() => JSON.parse(value) as unknown)().unwrapOr([]);
  return Array.isArray(decoded) ? decoded.filter((id) => typeof id === 'string') : [];
}

const KEY_PREFIX = 'cancelled/';

/** Maximum number of ids in a key, some 2.4 kB: each write repeats what the key holds. */
const MAX_IDS_PER_KEY = 128;

/** Minimum time between two writes, ms. */
const WRITE_INTERVAL_MS = 100;

/** Delay after a failed call, ms. */
const RETRY_DELAY_MS = 500;

/** Time-out of the list of stored ids, ms: the store answers within some milliseconds, or a few hundred if it is slow. */
const LIST_TIMEOUT_MS = 750;

/** How long an entry that has just started waits for the stored ids before it runs batches, ms. */
const MAX_LOAD_WAIT_MS = 1_000;

/** How long a caller waits until its cancellation is stored, ms. */
const MAX_SAVE_WAIT_MS = 3_000;

/** How long keys are bound to the same lease, ms. */
const LEASE_USE_MS = 60_000;

const LEASE_TTL_MS = CANCELLATION_RETENTION_MS + LEASE_USE_MS;
