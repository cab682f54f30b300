import type { ResultAsync } from 'neverthrow';
import type StoreError from '../../src/store/StoreError';
import type Route from './Route';

/** HTTP status of each error. */
const STATUSES: Readonly<Record<StoreError['kind'], number>> = {
  unavailable: 503,
  conflict: 409,
  leaseGone: 410,
};

/** The calls of the simulated platform, by method and path. */
const routes: readonly Route[] = [
  {
    method: 'GET',
    path: /^\/v1\/keys\/(.+)$/,
    handle: async ({ store }, key) => {
      const reply = await replyTo(store().get(key));
      return reply.body === undefined ? { status: 404, body: { reason: 'no such key' } } : reply;
    },
  },
  {
    method: 'GET',
    path: /^\/v1\/keys$/,
    handle: ({ store, query }) => replyTo(store().list(query.get('prefix') ?? '')),
  },
  {
    method: 'PUT',
    path: /^\/v1\/keys\/(.+)$/,
    handle: ({ store, body }, key) =>
      replyTo(
        store()
          .put(key, body.value ?? '', body)
          .map((revision) => ({ revision })),
      ),
  },
  {
    method: 'DELETE',
    path: /^\/v1\/keys\/(.+)$/,
    handle: ({ store, query }, key) =>
      replyTo(
        store()
          .remove(key, numericParameter(query, 'expectRevision'))
          .map(() => ({})),
      ),
  },
  {
    method: 'POST',
    path: /^\/v1\/leases$/,
    handle: ({ store, body }) =>
      replyTo(
        store()
          .grantLease(body.ttlMs ?? 0)
          .map((id) => ({ id })),
      ),
  },
  {
    method: 'POST',
    path: /^\/v1\/leases\/([^/]+)\/renew$/,
    handle: ({ store }, lease) =>
      replyTo(
        store()
          .renewLease(lease)
          .map(() => ({})),
      ),
  },
  {
    method: 'DELETE',
    path: /^\/v1\/leases\/([^/]+)$/,
    handle: ({ store }, lease) =>
      replyTo(
        store()
          .revokeLease(lease)
          .map(() => ({})),
      ),
  },
  {
    method: 'GET',
    path: /^\/v1\/watch$/,
    handle: ({ store, query, signal }) =>
      replyTo(
        store().watch(
          query.get('prefix') ?? '',
          numericParameter(query, 'after') ?? 0,
          numericParameter(query, 'waitMs') ?? 0,
          signal,
        ),
      ),
  },
  {
    method: 'GET',
    path: /^\/v1\/calls$/,
    handle: async ({ engine }) => ({ status: 200, body: engine.calls() }),
  },
  {
    method: 'PUT',
    path: /^\/v1\/faults$/,
    handle: async ({ engine, body: { client, ...faults } }) => {
      engine.setFaults(faults, client);
      return { status: 200, body: {} };
    },
  },
];
export default routes;

async function replyTo<T>(result: ResultAsync<T, StoreError>): ReturnType<Route['handle']> {
  return result.match(
    (body) => ({ status: 200, body }),
    (error) => ({ status: STATUSES[error.kind], body: error }),
  );
}

function numericParameter(query: URLSearchParams, name: string): number | undefined {
  const value = query.get(name);
  return value === null ? undefined : Number(value);
}
