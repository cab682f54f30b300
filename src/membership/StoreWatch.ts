import type { ResultAsync } from 'neverthrow';
import Backoff from '../core/Backoff';
import type StoreChanges from '../store/StoreChanges';
import type StoreError from '../store/StoreError';
import type StoreItem from '../store/StoreItem';
import storeKeys from './storeKeys';
import parseConfiguration from './parseConfiguration';
import parseView from './parseView';
import type StoreWatchOptions from './StoreWatchOptions';

const WAIT_MS = 30_000;
const FIRST_RETRY_MS = 1_000;
const RETRY_LIMIT_MS = 30_000;

/**
 * The one waiting watch of a process. It brings new views, configurations and
 * lease keys from the platform's key-value service; after a failure it lists
 * everything once and goes on from there. Nothing older is ever adopted.
 */
export default class StoreWatch {
  private readonly backoff: Backoff;

  private readonly readers: ReadonlyMap<string, (value: string) => boolean>;

  private readonly present = new Set<string>();

  /** The revision that is known; undefined before the first listing and after a failure. */
  private revision: number | undefined;

  private unread = 0;

  /** Ends the watch under way. */
  private watching = new AbortController();

  /** Ends the rest after a failure. */
  private resting = new AbortController();

  private listed = false;

  private isFailing = false;

  private constructor(private readonly options: StoreWatchOptions) {
    this.backoff = Backoff.of(FIRST_RETRY_MS, RETRY_LIMIT_MS, options.random);
    this.readers = new Map([
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

  /** Creates a watch that does not run yet. */
  static create(options: StoreWatchOptions): StoreWatch {
    return new StoreWatch(options);
  }

  /** Whether the last call to the store was answered. */
  get isReachable(): boolean {
    return this.revision !== undefined;
  }

  /** Whether the store has told at least once what it holds. */
  get hasListed(): boolean {
    return this.listed;
  }

  /**
   * Takes note of whether another call of this process was answered, since a
   * watch that waits can't tell: after a failure it is begun anew, and after a
   * success a rest is over.
   */
  recordCallResult(isAnswered: boolean): void {
    if (isAnswered) this.resting.abort();
    else this.watching.abort();
  }

  /** Number of values met that could not be read. They were passed over. */
  get unreadableCount(): number {
    return this.unread;
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const changes = await this.next(signal);
      if (signal.aborted) return;
      if (changes.isOk()) {
        this.backoff.reset();
        this.reached(undefined);
        this.take(changes.value);
        continue;
      }
      this.reached(changes.error.reason);
      this.revision = undefined;
      this.resting = new AbortController();
      const rest = AbortSignal.any([signal, this.resting.signal]);
      await this.options.timer.sleep(this.backoff.next(), rest);
    }
  }

  private reached(failure: string | undefined): void {
    const isFailing = failure !== undefined;
    if (isFailing !== this.isFailing) this.options.onReachabilityChange?.(failure);
    this.isFailing = isFailing;
  }

  private next(signal: AbortSignal): ResultAsync<StoreChanges, StoreError> {
    const { store } = this.options;
    if (this.revision === undefined) return store.list('');
    this.watching = new AbortController();
    const end = AbortSignal.any([signal, this.watching.signal]);
    return store.watch('', this.revision, WAIT_MS, end);
  }

  private take(changes: StoreChanges): void {
    const isListing = this.revision === undefined;
    this.revision = changes.revision;
    this.listed = true;
    if (isListing) this.present.clear();
    changes.deleted.filter(isEntry).forEach((key) => this.present.delete(incarnationOf(key)));
    const arrived = changes.items.filter(({ key }) => isEntry(key));
    arrived.forEach(({ key }) => this.present.add(incarnationOf(key)));
    changes.items.forEach((item) => this.read(item));
    if (isListing || arrived.length > 0 || changes.deleted.some(isEntry)) {
      this.options.onLiveIncarnations(new Set(this.present));
    }
  }

  private read({ key, value }: StoreItem): void {
    const reader = this.readers.get(key);
    if (reader && !reader(value)) this.unread += 1;
  }
}

function isEntry(key: string): boolean {
  return key.startsWith(storeKeys.entries);
}

function incarnationOf(key: string): string {
  return key.slice(storeKeys.entries.length);
}
