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
  /** Told of each key with its value, as it stands at first and as it changes. */
  readonly onPut: (key: string, value: string) => void;
  /** Told of each key that was there and is no longer. */
  readonly onDelete?: (key: string) => void;
  /** Told once all changes up to a revision of the store were passed on. */
  readonly onRevision?: (revision: number) => void;
}

/** Follows the keys under a prefix: a list, then watches that wait, and a list again after any gap. */
export default class PrefixWatcher {
  private revision: number | undefined;

  private isLost = false;

  /** Keys that are there, as far as was told. */
  private readonly known = new Set<string>();

  /** Lists that failed since the last one was had. */
  private failedLists = 0;

  private constructor(private readonly opts: PrefixWatcherOptions) {}

  /** Creates a follower that asks nothing before `run`. */
  static of(opts: PrefixWatcherOptions): PrefixWatcher {
    return new PrefixWatcher(opts);
  }

  /** Follows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { timer, random, log, prefix } = this.opts;
    const backoff = Backoff.of(FIRST_DELAY_MS, LIMIT_DELAY_MS, random);
    const firstBackoff = Backoff.of(FIRST_DELAY_MS, FIRST_LIST_LIMIT_MS, random);
    while (!signal.aborted) {
      const failure = await this.step(signal);
      if (failure === undefined) {
        backoff.reset();
        if (this.isLost) log.info('the store answers again', { prefix, revision: this.revision });
        this.isLost = false;
      } else if (!signal.aborted) {
        if (!this.isLost) log.warn('the store is out of reach', { prefix, reason: failure });
        this.isLost = true;
        const pauses = this.revision === undefined ? firstBackoff : backoff;
        await timer.sleep(pauses.next(), signal);
      }
    }
  }

  /** One call. Returns why it failed, if it did. */
  private async step(signal: AbortSignal): Promise<string | undefined> {
    const { store, prefix, timer } = this.opts;
    const isFirst = this.revision === undefined;
    // A connection may go silent without a reset, so a watch after a failure comes back sooner.
    const waitMs = this.isLost ? DOUBTED_WATCH_MS : WATCH_MS;
    const res = isFirst
      ? await store.list(prefix, Math.min(LIST_LIMIT_MS, FIRST_LIST_MS * 2 ** this.failedLists))
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
    this.takeAll(res.value, isFirst);
    if (isFirst && res.value.items.length === 0) await timer.sleep(EMPTY_MS, signal);
    return undefined;
  }

  /** Passes on what has changed; a list does not name the keys that have gone since the last answer. */
  private takeAll({ items, deleted, revision }: StoreChanges, isList: boolean): void {
    const { onDelete: removed, onRevision: upTo } = this.opts;
    const listed = new Set(items.map(({ key }) => key));
    const gone = isList ? [...this.known].filter((key) => !listed.has(key)) : deleted;
    this.revision = revision;
    items.forEach((item) => this.take(item));
    gone.forEach((key) => {
      this.known.delete(key);
      removed?.(key);
    });
    upTo?.(revision);
  }

  /** One value that cannot be taken must not end the following of all later ones. */
  private take({ key, value }: StoreItem): void {
    const { log, onPut: put } = this.opts;
    this.known.add(key);
    try {
      put(key, value);
    } catch (error) {
      log.warn('a value of the store could not be taken', { key, error });
    }
  }
}

/** Pauses after a failed call, ms: the store's return has to be noticed well within two seconds. */
const FIRST_DELAY_MS = 100;
const LIMIT_DELAY_MS = 700;

/** The same until the first list was had, ms: callers wait for what is in it. */
const FIRST_LIST_LIMIT_MS = 200;

/**
 * How long a list is waited for, ms, twice as long after each that failed: a store that was silent answers
 * nothing of before when it is back, and callers wait for the first list of a process. It answers within
 * some milliseconds, and within a few hundred when it is slow. This spares up to a second after a silence
 * that is shorter than that; after a long one it is as with the limit alone.
 */
const FIRST_LIST_MS = 400;
const LIST_LIMIT_MS = 1_500;

/** How long a watch waits. Each call is paid for; a silent connection is noticed after this, ms. */
const WATCH_MS = 5_000;
const DOUBTED_WATCH_MS = 1_000;

/** Pause after a first list that is empty, ms. */
const EMPTY_MS = 100;
