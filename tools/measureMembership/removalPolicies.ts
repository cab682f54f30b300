import { okAsync } from 'neverthrow';
import type Store from '../../src/store/Store';

/** A rule for when an entry is removed from the view. */
interface RemovalPolicy {
  readonly name: string;
  /** Wraps the store that the membership uses. */
  readonly storeOf: (store: Store) => Store;
  /** Whether the membership is notified of the lease keys present in the store; otherwise it is told that there are none. */
  readonly seesLeases: boolean;
  /** Whether an entry has to be unresponsive before it is removed. */
  readonly needsSilence: boolean;
}

/** The policies compared: two conditions with separate mechanisms (lease and silence), or one timeout for both. */
const removalPolicies: readonly RemovalPolicy[] = [
  { name: 'split', storeOf: (store) => store, seesLeases: true, needsSilence: true },
  { name: 'silence only', storeOf: withoutLeases, seesLeases: false, needsSilence: true },
  { name: 'lease only', storeOf: (store) => store, seesLeases: true, needsSilence: false },
];

export default removalPolicies;

/** A store that hides the lease keys, so that silence alone decides. */
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
