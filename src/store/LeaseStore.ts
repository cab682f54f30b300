import type Store from './Store';

/** What of the key-value service it takes to hold a key under a lease. */
type LeaseStore = Pick<Store, 'put' | 'grantLease' | 'renewLease' | 'revokeLease'>;
export type { LeaseStore as default };
