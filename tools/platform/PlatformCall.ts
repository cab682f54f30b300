import type Store from '../../src/store/Store';
import type SimulatedStoreEngine from './SimulatedStoreEngine';
import type StoreFaults from './StoreFaults';

/** A call to the simulated platform, parsed from its HTTP request. */
export default interface PlatformCall {
  readonly engine: SimulatedStoreEngine;
  /** Returns the calling process's client of the store. */
  readonly store: () => Store;
  readonly query: URLSearchParams;
  readonly body: CallBody;
  /** Aborts when the caller closes the connection. */
  readonly signal: AbortSignal;
}

interface CallBody extends StoreFaults {
  readonly value?: string;
  readonly expectRevision?: number;
  readonly lease?: string;
  readonly ttlMs?: number;
  readonly client?: string;
}
