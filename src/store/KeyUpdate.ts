import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Store from './Store';
import type StoreItem from './StoreItem';

/** An update of one key whose new value is computed from its current one. */
export default interface KeyUpdate {
  readonly store: Store;
  readonly timer: TimerService;
  readonly random: Random;
  readonly key: string;
  /**
   * Returns the value that replaces the one read, or undefined if there is nothing
   * to change (any more). It is called for each attempt and must recognise a write
   * of an earlier attempt, whose answer may have been lost.
   */
  readonly computeValue: (
    item: StoreItem | undefined,
  ) => Promise<string | undefined> | string | undefined;
  /** Number of read-and-write attempts before the update fails. */
  readonly maxAttempts: number;
  /** Ends the delay between attempts, and with it the update. */
  readonly signal?: AbortSignal;
}
