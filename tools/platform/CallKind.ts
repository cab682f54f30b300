import type Store from '../../src/store/Store';

/** The kinds of calls that the simulated key-value service counts. */
type CallKind = keyof Store;
export type { CallKind as default };
