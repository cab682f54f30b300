import type Store from './Store';

/** The calls of the key-value service that are needed to maintain a key under a lease. */
type LeaseStore = Pick<Store, 'put' | 'grantLease' | 'renewLease' | 'revokeLease'>;
export type { LeaseStore as default };
