import { okAsync } from 'neverthrow';
import type Store from '../../src/store/Store';

/** One way to decide when an entry is removed from the view. */
interface RemovalPolicy {
  readonly name: string;
  /** The store as the membership sees it. */
  readonly storeOf: (store: Store) => Store;
  /** Whether the membership is told the lease keys that are present, or none. */
  readonly seesLeases: boolean;
  /** Whether silence is asked for before a removal. */
  readonly needsSilence: boolean;
}

/** The ways compared: two questions with two mechanisms, or one timeout for both. */
const policies: readonly RemovalPolicy[] = [
  { name: 'split', storeOf: (store) => store, seesLeases: true, needsSilence: true },
  { name: 'silence only', storeOf: withoutLeases, seesLeases: false, needsSilence: true },
  { name: 'lease only', storeOf: (store) => store, seesLeases: true, needsSilence: false },
];

export default policies;

/** A store that denies every lease key, so that silence alone decides. */
function withoutLeases(store: Store): Store {
  return {
    get: (key) => (key.startsWith('entries/') ? okAsync(undefined) : store.get(key)),
    list: (prefix) => store.list(prefix),
    put: (key, value, options) => store.put(key, value, options),
    remove: (key, expectRevision) => store.remove(key, expectRevision),
    grantLease: (ttlMs) => store.grantLease(ttlMs),
    renewLease: (lease) => store.renewLease(lease),
    revokeLease: (lease) => store.revokeLease(lease),
    watch: (prefix, after, waitMs, signal) => store.watch(prefix, after, waitMs, signal),
  };
}
