import type { ResultAsync } from 'neverthrow';
import type PlatformCall from '../platform/PlatformCall';
import type Route from '../platform/Route';
import type Store from '../../src/store/Store';
import type StoreError from '../../src/store/StoreError';
import type StoreItem from '../../src/store/StoreItem';

/** Body of any of the calls; magnoliakeel writes one key in each transaction. */
interface CallBody {
  readonly ttl_ms?: number;
  readonly expected_revision?: readonly { readonly revision: number }[];
  readonly writes?: readonly [{ key: string; value: string; lease_id: number }];
}

/** Answers a call on the calling process's view of the store; `pathParameter` is the path segment after the call's name. */
type Answer = (
  store: Store,
  call: PlatformCall,
  pathParameter: string,
) => ResultAsync<object | undefined, StoreError>;

/** The key-value calls of the users' platform that magnoliakeel makes, served by the simulated store. */
const kvRoutes: readonly Route[] = [
  route('GET', 'kv-key', (store, { query }) =>
    store.get(query.get('key') ?? '').map((item) => item && encodeItem(item)),
  ),
  route('GET', 'kv-range', (store, { query }) =>
    store.list(query.get('prefix') ?? '').map(({ items, revision }) => ({
      items: items.map(encodeItem),
      at: revision,
      has_more: false,
    })),
  ),
  route('GET', 'kv-watch', (store, { query, signal }) => {
    const [after, waitMs] = [Number(query.get('after')), Number(query.get('wait_ms'))];
    return store
      .watch(query.get('prefix') ?? '', after, waitMs, signal)
      .map(({ items, deleted, revision }) => ({
        events: [
          ...items.map(encodeItem),
          ...deleted.map((key) => ({ key, revision, deleted: true })),
        ],
        at: revision,
      }));
  }),
  route('POST', 'kv-txn', (store, { body }) => {
    const { expected_revision: expected = [], writes } = body as CallBody;
    const { key, value, lease_id: lease } = writes![0];
    const text = Buffer.from(value, 'base64').toString('utf8');
    const owner = lease === 0 ? undefined : `${LEASE_PREFIX}${lease}`;
    const options = { expectRevision: expected[0]?.revision, lease: owner };
    return store.put(key, text, options).map((revision) => ({ revision }));
  }),
  route('POST', 'kv-lease', (store, { body }) => {
    const { ttl_ms: ttlMs = 0 } = body as CallBody;
    return store
      .grantLease(ttlMs)
      .map((id) => ({ lease_id: Number(id.slice(LEASE_PREFIX.length)), ttl_ms: ttlMs }));
  }),
  route('POST', 'kv-keep', (store, _call, id) =>
    store.renewLease(`${LEASE_PREFIX}${id}`).map(() => ({})),
  ),
  route('DELETE', 'kv-lease-end', (store, _call, id) =>
    store.revokeLease(`${LEASE_PREFIX}${id}`).map(() => ({})),
  ),
];
export default kvRoutes;

/** Prefix of the engine's lease names; on the platform, leases are numbers. */
const LEASE_PREFIX = 'lease-';

const STATUSES: Readonly<Record<StoreError['kind'], number>> = {
  ...{ unavailable: 503, conflict: 412, leaseGone: 404 },
};

function route(method: string, name: string, answer: Answer): Route {
  return {
    method,
    path: new RegExp(`^/magnoliakeel/${name}(?:/(\\d+))?$`),
    handle: (call, pathParameter) =>
      answer(call.store(), call, pathParameter).match(
        (body) => (body ? { status: 200, body } : { status: 404, body: {} }),
        (error) => ({ status: STATUSES[error.kind], body: error }),
      ),
  };
}

function encodeItem({ key, value, revision }: StoreItem) {
  return { key, value: Buffer.from(value).toString('base64'), revision };
}
