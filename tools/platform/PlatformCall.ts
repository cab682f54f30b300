import type Store from '../../src/store/Store';
import type Engine from './Engine';
import type Faults from './Faults';

/** One call to the stand-in, read from its request. */
export default interface Call {
  readonly engine: Engine;
  /** The store as the calling process sees it. */
  readonly store: () => Store;
  readonly query: URLSearchParams;
  readonly body: CallBody;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

interface CallBody extends Faults {
  readonly value?: string;
  readonly expectRevision?: number;
  readonly lease?: string;
  readonly ttlMs?: number;
  readonly client?: string;
}
