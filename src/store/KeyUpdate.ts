import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Store from './Store';
import type StoreItem from './StoreItem';

/** One change of a key, decided from what the key holds. */
export default interface KeyUpdate {
  readonly store: Store;
  readonly timer: TimerService;
  readonly random: Random;
  readonly key: string;
  /**
   * Returns the value to write in place of the one read, or undefined when
   * there is nothing to change (any more). It is called anew for each attempt
   * and must recognise its own earlier write, whose answer may have been lost.
   */
  readonly computeValue: (
    item: StoreItem | undefined,
  ) => Promise<string | undefined> | string | undefined;
  /** How often the key is read and decided upon before giving up. */
  readonly maxAttempts: number;
  /** Ends the waits between attempts. */
  readonly signal?: AbortSignal;
}
