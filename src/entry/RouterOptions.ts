import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';
import type Tracer from '../observe/Tracer';

/** Dependencies of the router. */
export default interface RouterOptions {
  readonly timer: TimerService;
  /** Traces forwarded submissions; undefined when tracing is off. */
  readonly tracer?: Tracer;
  readonly self: string;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly network: Pick<Network, 'forward'>;
  /** How long a submission waits for an owner that can't be reached, in milliseconds. */
  readonly ownerWaitMs: number;
  readonly isSuspected: (incarnation: string) => boolean;
  /**
   * A signal that aborts once the entry is suspected or no longer a member, or
   * `callerGone` aborts; `release` removes its listeners.
   */
  readonly watchOwner: (
    incarnation: string,
    callerGone: AbortSignal,
  ) => { readonly signal: AbortSignal; readonly release: () => void };
  /** Resolves when a newer view arrives or after the delay. */
  readonly nextViewOrDelay: (delayMs: number) => Promise<void>;
}
