import Backoff from '../core/Backoff';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type EventLog from '../observe/EventLog';
import type StoreChanges from '../store/StoreChanges';
import type StoreItem from '../store/StoreItem';
import type WatchableStore from '../store/WatchableStore';

interface PrefixWatcherOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly store: WatchableStore;
  readonly log: EventLog;
  readonly prefix: string;
  /** How long the store holds a watch call open, ms; a connection that has gone silent is noticed after it. */
  readonly waitMs?: number;
  /** Called for each key with its value, for those listed at first and after each change. */
  readonly onPut: (key: string, value: string) => void;
  /** Called for each key that was deleted. */
  readonly onDelete?: (key: string) => void;
  /** Called when all changes up to a store revision were passed to `onPut` and `onDelete`. */
  readonly onRevision?: (revision: number) => void;
}

/**
 * Watches the keys under a prefix: lists them, then long-polls for changes, and lists again when the history
 * is compacted.
 */
export default class PrefixWatcher {
  private revision: number | undefined;

  private isUnreachable = false;

  /** Keys that exist according to the last answer. */
  private readonly knownKeys = new Set<string>();

  /** Consecutive failed list calls. */
  private failedLists = 0;

  private constructor(private readonly opts: PrefixWatcherOptions) {}

  /** Creates a watcher that makes no call before `run`. */
  static of(opts: PrefixWatcherOptions): PrefixWatcher {
    return new PrefixWatcher(opts);
  }

  /** Watches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { timer, random, log, prefix } = this.opts;
    const backoff = Backoff.of(FIRST_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, random);
    const firstBackoff = Backoff.of(FIRST_RETRY_DELAY_MS, MAX_FIRST_LIST_RETRY_DELAY_MS, random);
    while (!signal.aborted) {
      const failure = await this.listOrWatch(signal);
      if (failure === undefined) {
        backoff.reset();
        if (this.isUnreachable)
          log.info('store reachable again', { prefix, revision: this.revision });
        this.isUnreachable = false;
      } else if (!signal.aborted) {
        if (!this.isUnreachable)
          log.warn('store unreachable; retrying', { prefix, reason: failure });
        this.isUnreachable = true;
        const retryDelays = this.revision === undefined ? firstBackoff : backoff;
        await timer.sleep(retryDelays.next(), signal);
      }
    }
  }

  /** Makes one list or watch call and applies its result. Returns the reason if it failed. */
  private async listOrWatch(signal: AbortSignal): Promise<string | undefined> {
    const { store, prefix, timer, waitMs: usualWaitMs = WATCH_WAIT_MS } = this.opts;
    const isFirst = this.revision === undefined;
    const waitMs = this.isUnreachable ? WATCH_WAIT_AFTER_FAILURE_MS : usualWaitMs;
    const res = isFirst
      ? await store.list(
          prefix,
          Math.min(MAX_LIST_TIMEOUT_MS, FIRST_LIST_TIMEOUT_MS * 2 ** this.failedLists),
        )
      : await store.watch(prefix, this.revision!, waitMs, signal);
    if (res.isErr()) {
      if (isFirst) this.failedLists += 1;
      if (res.error.kind === 'compacted') {
        this.revision = undefined;
        return undefined;
      }
      return res.error.reason;
    }
    this.failedLists = 0;
    this.applyChanges(res.value, isFirst);
    if (isFirst && res.value.items.length === 0) await timer.sleep(EMPTY_LIST_DELAY_MS, signal);
    return undefined;
  }

  /**
   * Passes the changes to the callbacks. A list does not name deleted keys, so these are found by comparison
   * with the known ones.
   */
  private applyChanges({ items, deleted, revision }: StoreChanges, isList: boolean): void {
    const { onDelete, onRevision } = this.opts;
    const listed = new Set(items.map(({ key }) => key));
    const deletedKeys = isList ? [...this.knownKeys].filter((key) => !listed.has(key)) : deleted;
    this.revision = revision;
    items.forEach((item) => this.applyItem(item));
    deletedKeys.forEach((key) => {
      this.knownKeys.delete(key);
      onDelete?.(key);
    });
    onRevision?.(revision);
  }

  /** Logs an error of the callback: one value that cannot be applied must not end the watch. */
  private applyItem({ key, value }: StoreItem): void {
    const { log, onPut } = this.opts;
    this.knownKeys.add(key);
    try {
      onPut(key, value);
    } catch (error) {
      log.warn('could not apply a value from the store', { key, error });
    }
  }
}

/** Delays after a failed call, ms: a store that is available again has to be noticed well within two seconds. */
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 700;

/** Longest delay until the first list has succeeded, ms: callers wait for its contents. */
const MAX_FIRST_LIST_RETRY_DELAY_MS = 200;

/**
 * Time-out of the first list, ms, doubled after each failure up to the limit. A store that was unresponsive
 * does not answer earlier calls once it is available again, and callers wait for the first list of a process.
 * The store answers within some milliseconds, or within a few hundred when it is slow. Starting with a short
 * time-out saves up to a second after an outage shorter than that; after a longer one only the limit counts.
 */
const FIRST_LIST_TIMEOUT_MS = 400;
const MAX_LIST_TIMEOUT_MS = 1_500;

/**
 * Default wait of a watch call, ms. Calls are metered, but a connection that has gone silent is noticed only after this
 * time and the client's time-out, and a change must not wait for that longer than some three seconds.
 */
const WATCH_WAIT_MS = 1_500;

/** The same while the store is unreachable, ms: the delay after a failure can be longer then. */
const WATCH_WAIT_AFTER_FAILURE_MS = 500;

/** Delay after a first list that is empty, ms. */
const EMPTY_LIST_DELAY_MS = 100;
