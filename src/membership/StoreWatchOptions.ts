import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Store from '../store/Store';

/** Dependencies of the store watch, and the values and callbacks that it updates. */
export default interface StoreWatchOptions {
  readonly store: Store;
  readonly timer: TimerService;
  readonly random: Random;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  /** Called with the incarnations whose lease keys the store holds, after each change of them. */
  readonly onLiveIncarnations: (incarnations: ReadonlySet<string>) => void;
  /** Called with the reason when the store stops answering, and with undefined when it answers again. */
  readonly onReachabilityChange?: (failure: string | undefined) => void;
}
