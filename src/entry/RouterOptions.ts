import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { Configuration, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';
import type Tracer from '../observe/Tracer';

/** What the router needs from the entry around it. */
export default interface RouterOptions {
  readonly timer: TimerService;
  /** Traces forwards; undefined when nothing is traced. */
  readonly tracer?: Tracer;
  readonly self: string;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
  readonly network: Pick<Network, 'forward'>;
  /** How long a submission waits for an owner that can't be reached. */
  readonly ownerWaitMs: number;
  readonly isSuspected: (incarnation: string) => boolean;
  /** A signal that aborts once the entry is suspected or the other signal aborts; `end` releases it. */
  readonly watchOwner: (
    incarnation: string,
    gone: AbortSignal,
  ) => { readonly signal: AbortSignal; readonly end: () => void };
  /** Resolves at a newer view or after the delay. */
  readonly nextViewOrDelay: (delayMs: number) => Promise<void>;
}
