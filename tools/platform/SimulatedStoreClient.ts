import { err, ResultAsync, type Result } from 'neverthrow';
import type TimerService from '../../src/core/TimerService';
import type PutOptions from '../../src/store/PutOptions';
import type Store from '../../src/store/Store';
import type StoreChanges from '../../src/store/StoreChanges';
import type StoreError from '../../src/store/StoreError';
import type StoreItem from '../../src/store/StoreItem';
import type CallCounts from './CallCounts';
import type CallKind from './CallKind';
import type StoreFaults from './StoreFaults';

const WRITES: ReadonlySet<CallKind> = new Set<CallKind>([
  'put',
  'remove',
  'grantLease',
  'renewLease',
  'revokeLease',
]);

const STORE_DOWN: StoreError = { kind: 'unavailable', reason: 'the store is down' };

const ANSWER_LOST: StoreError = { kind: 'unavailable', reason: 'the answer was lost' };

/** One process's access to the simulated store: counts its calls and applies the active faults. */
export default class SimulatedStoreClient implements Store {
  private readonly counts: CallCounts = {};

  private watches = new AbortController();

  private constructor(
    private readonly store: Store,
    private readonly timer: TimerService,
    private readonly faults: () => StoreFaults,
  ) {}

  /** Creates a client of a store that has no faults of its own. */
  static of(store: Store, timer: TimerService, faults: () => StoreFaults): SimulatedStoreClient {
    return new SimulatedStoreClient(store, timer, faults);
  }

  /** Calls made so far, by kind. */
  get calls(): CallCounts {
    return { ...this.counts };
  }

  /** Ends the pending watches without an answer, as a lost connection does. */
  breakWatches(): void {
    this.watches.abort();
    this.watches = new AbortController();
  }

  get(key: string): ResultAsync<StoreItem | undefined, StoreError> {
    return this.call('get', () => this.store.get(key));
  }

  list(prefix: string): ResultAsync<StoreChanges, StoreError> {
    return this.call('list', () => this.store.list(prefix));
  }

  put(key: string, value: string, options?: PutOptions): ResultAsync<number, StoreError> {
    return this.call('put', () => this.store.put(key, value, options));
  }

  remove(key: string, expectRevision?: number): ResultAsync<void, StoreError> {
    return this.call('remove', () => this.store.remove(key, expectRevision));
  }

  grantLease(ttlMs: number): ResultAsync<string, StoreError> {
    return this.call('grantLease', () => this.store.grantLease(ttlMs));
  }

  renewLease(lease: string): ResultAsync<void, StoreError> {
    return this.call('renewLease', () => this.store.renewLease(lease));
  }

  revokeLease(lease: string): ResultAsync<void, StoreError> {
    return this.call('revokeLease', () => this.store.revokeLease(lease));
  }

  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<StoreChanges, StoreError> {
    return this.call('watch', () => {
      const broken = this.watches.signal;
      const ended = signal ? AbortSignal.any([signal, broken]) : broken;
      return this.store.watch(prefix, afterRevision, waitMs, ended);
    });
  }

  private call<T>(
    kind: CallKind,
    run: () => ResultAsync<T, StoreError>,
  ): ResultAsync<T, StoreError> {
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
    return new ResultAsync(this.answer(kind, run));
  }

  private async answer<T>(
    kind: CallKind,
    run: () => ResultAsync<T, StoreError>,
  ): Promise<Result<T, StoreError>> {
    const { slowMs = 0 } = this.faults();
    if (slowMs > 0) await this.timer.sleep(slowMs);
    if (this.faults().down) return err(STORE_DOWN);
    const result = await run();
    const { down, answerLost } = this.faults();
    return down || (answerLost && WRITES.has(kind)) ? err(ANSWER_LOST) : result;
  }
}
