import type { ResultAsync } from 'neverthrow';
import type PlatformCall from '../platform/PlatformCall';
import type Route from '../platform/Route';
import type StoreError from '../../src/store/StoreError';
import type StoreItem from '../../src/store/StoreItem';

/** What a transaction asks for; the product writes one key in each. */
interface Transaction {
  readonly expected_revision?: readonly { readonly revision: number }[];
  readonly writes?: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease_id: number;
  }[];
}

/** The calls of the users' platform's store that the product makes, on the stand-in's engine. */
const kvRoutes: readonly Route[] = [
  {
    method: 'GET',
    path: /^\/magnoliakeel\/kv-key$/,
    handle: async ({ store, query }) => {
      const reply = await replyTo(
        store()
          .get(query.get('key') ?? '')
          .map((item) => item && itemOf(item)),
      );
      return reply.body === undefined ? { status: 404, body: {} } : reply;
    },
  },
  {
    method: 'GET',
    path: /^\/magnoliakeel\/kv-range$/,
    handle: ({ store, query }) =>
      replyTo(
        store()
          .list(query.get('prefix') ?? '')
          .map(({ items, revision }) => ({
            items: items.map(itemOf),
            at: revision,
            has_more: false,
          })),
      ),
  },
  {
    method: 'GET',
    path: /^\/magnoliakeel\/kv-watch$/,
    handle: ({ store, query, signal }) =>
      replyTo(
        store()
          .watch(
            query.get('prefix') ?? '',
            Number(query.get('after')),
            Number(query.get('wait_ms')),
            signal,
          )
          .map(({ items, deleted, revision }) => ({
            events: [
              ...items.map(itemOf),
              ...deleted.map((key) => ({ key, revision, deleted: true })),
            ],
            at: revision,
          })),
      ),
  },
  {
    method: 'POST',
    path: /^\/magnoliakeel\/kv-txn$/,
    handle: ({ store, body }) => {
      const { expected_revision: expected = [], writes = [] } = body as Transaction;
      const { key = '', value = '', lease_id: lease = 0 } = writes[0] ?? {};
      const options = {
        expectRevision: expected[0]?.revision,
        lease: lease === 0 ? undefined : `${LEASE}${lease}`,
      };
      const text = Buffer.from(value, 'base64').toString('utf8');
      return replyTo(
        store()
          .put(key, text, options)
          .map((revision) => ({ revision })),
      );
    },
  },
  {
    method: 'POST',
    path: /^\/magnoliakeel\/kv-lease$/,
    handle: ({ store, body }) => {
      const { ttl_ms: ttlMs = 0 } = body as { readonly ttl_ms?: number };
      return replyTo(
        store()
          .grantLease(ttlMs)
          .map((id) => ({ lease_id: Number(id.slice(LEASE.length)), ttl_ms: ttlMs })),
      );
    },
  },
  {
    method: 'POST',
    path: /^\/magnoliakeel\/kv-keep\/(\d+)$/,
    handle: ({ store }, lease) => replyTo(done(store().renewLease(`${LEASE}${lease}`))),
  },
  {
    method: 'DELETE',
    path: /^\/magnoliakeel\/kv-lease-end\/(\d+)$/,
    handle: ({ store }, lease) => replyTo(done(store().revokeLease(`${LEASE}${lease}`))),
  },
];
export default kvRoutes;

/** How the engine names its leases; the platform numbers them. */
const LEASE = 'lease-';

const STATUSES: Readonly<Record<StoreError['kind'], number>> = {
  unavailable: 503,
  conflict: 412,
  leaseGone: 404,
};

function done(result: ReturnType<ReturnType<PlatformCall['store']>['renewLease']>) {
  return result.map(() => ({}));
}

function itemOf({ key, value, revision }: StoreItem) {
  return { key, value: Buffer.from(value).toString('base64'), revision };
}

async function replyTo<T>(result: ResultAsync<T, StoreError>): ReturnType<Route['handle']> {
  return result.match(
    (body) => ({ status: 200, body }),
    (error) => ({ status: STATUSES[error.kind], body: error }),
  );
}
