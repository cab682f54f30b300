import type { ResultAsync } from 'neverthrow';
import Backoff from '../core/Backoff';
import type StoreChanges from '../store/StoreChanges';
import type StoreError from '../store/StoreError';
import type StoreItem from '../store/StoreItem';
import storeKeys from './storeKeys';
import parseConfiguration from './parseConfiguration';
import parseView from './parseView';
import type StoreWatchOptions from './StoreWatchOptions';

/**
 * How long the store holds a watch call open, ms. Calls are metered, but a connection that has gone silent is noticed only
 * after this time and the client's time-out, and a configuration is to be in force everywhere within four seconds.
 */
const WATCH_WAIT_MS = 1_500;
const FIRST_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 30_000;

/**
 * The only long-polling watch of a process. It receives new views, configurations
 * and lease keys from the platform's key-value service. After a failure it lists
 * all keys once and watches from that revision. An older version is never adopted.
 */
export default class StoreWatch {
  private readonly backoff: Backoff;

  private readonly parsers: ReadonlyMap<string, (value: string) => boolean>;

  private readonly liveIncarnations = new Set<string>();

  /** The revision reached; undefined before the first list and after a failure. */
  private revision: number | undefined;

  private unreadableValues = 0;

  /** Aborts the current watch call. */
  private watchController = new AbortController();

  /** Aborts the delay after a failure. */
  private delayController = new AbortController();

  private wasListed = false;

  private isFailing = false;

  private constructor(private readonly options: StoreWatchOptions) {
    this.backoff = Backoff.of(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, options.random);
    this.parsers = new Map([
      [
        storeKeys.view,
        (value: string) =>
          parseView(value)
            .map((view) => options.views.adopt(view))
            .isOk(),
      ],
      [
        storeKeys.manifest,
        (value: string) =>
          parseConfiguration(value)
            .map((configuration) => options.configurations.adopt(configuration))
            .isOk(),
      ],
    ]);
  }

  /** Creates a watch; it makes no call before `run`. */
  static create(options: StoreWatchOptions): StoreWatch {
    return new StoreWatch(options);
  }

  /** Whether the last call to the store was answered. */
  get isReachable(): boolean {
    return this.revision !== undefined;
  }

  /** Whether the store was listed at least once. */
  get hasListed(): boolean {
    return this.wasListed;
  }

  /**
   * Records whether another store call of this process was answered, since a
   * pending watch can't tell whether its connection works: a failure restarts
   * the watch, and a success ends the delay after a failure.
   */
  recordCallResult(isAnswered: boolean): void {
    if (isAnswered) this.delayController.abort();
    else this.watchController.abort();
  }

  /** Number of values that could not be parsed and were ignored. */
  get unreadableCount(): number {
    return this.unreadableValues;
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const changes = await this.listOrWatch(signal);
      if (signal.aborted) return;
      if (changes.isOk()) {
        this.backoff.reset();
        this.reportReachability(undefined);
        this.applyChanges(changes.value);
        continue;
      }
      this.reportReachability(changes.error.reason);
      this.revision = undefined;
      this.delayController = new AbortController();
      const delaySignal = AbortSignal.any([signal, this.delayController.signal]);
      await this.options.timer.sleep(this.backoff.next(), delaySignal);
    }
  }

  private reportReachability(failure: string | undefined): void {
    const isFailing = failure !== undefined;
    if (isFailing !== this.isFailing) this.options.onReachabilityChange?.(failure);
    this.isFailing = isFailing;
  }

  private listOrWatch(signal: AbortSignal): ResultAsync<StoreChanges, StoreError> {
    const { store } = this.options;
    if (this.revision === undefined) return store.list('');
    this.watchController = new AbortController();
    const watchSignal = AbortSignal.any([signal, this.watchController.signal]);
    return store.watch('', this.revision, WATCH_WAIT_MS, watchSignal);
  }

  private applyChanges(changes: StoreChanges): void {
    const isList = this.revision === undefined;
    this.revision = changes.revision;
    this.wasListed = true;
    if (isList) this.liveIncarnations.clear();
    changes.deleted
      .filter(isLeaseKey)
      .forEach((key) => this.liveIncarnations.delete(incarnationOf(key)));
    const writtenLeases = changes.items.filter(({ key }) => isLeaseKey(key));
    writtenLeases.forEach(({ key }) => this.liveIncarnations.add(incarnationOf(key)));
    changes.items.forEach((item) => this.parseItem(item));
    if (isList || writtenLeases.length > 0 || changes.deleted.some(isLeaseKey)) {
      this.options.onLiveIncarnations(new Set(this.liveIncarnations));
    }
  }

  private parseItem({ key, value }: StoreItem): void {
    const parse = this.parsers.get(key);
    if (parse && !parse(value)) this.unreadableValues += 1;
  }
}

function isLeaseKey(key: string): boolean {
  return key.startsWith(storeKeys.entryPrefix);
}

function incarnationOf(key: string): string {
  return key.slice(storeKeys.entryPrefix.length);
}
