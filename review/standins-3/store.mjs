// A stand-in for the platform's metadata store: keys with revisions, transactions, watches and leases.
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { text } from 'node:stream/consumers';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const HISTORY_LIMIT = 20_000;

/** Starts a store on "ip:port"; `faults` may be changed at any time. */
export default async function startStore(ip, port) {
  const items = new Map();
  const events = [];
  const leases = new Map();
  const waiters = new Set();
  const faults = { silent: false };
  let revision = 1;
  let lastLease = 0;

  const record = (event) => {
    events.push(event);
    if (events.length > HISTORY_LIMIT) events.shift();
  };
  const put = (key, value, lease = 0) => {
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease_id: lease };
    items.set(key, item);
    record(item);
  };
  const remove = (key) => {
    if (!items.delete(key)) return;
    record({ key, revision, deleted: true });
  };
  const changed = () => [...waiters].forEach((wake) => wake());
  const endLease = (id) => {
    const lease = leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    leases.delete(id);
    revision += 1;
    [...items.values()].filter((item) => item.lease_id === id).forEach(({ key }) => remove(key));
    changed();
    return true;
  };
  const renew = (id) => {
    const lease = leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => endLease(id), lease.ttlMs);
    return true;
  };
  const eventsAfter = (prefix, after) =>
    events.filter((event) => event.revision > after && event.key.startsWith(prefix));

  const routes = {
    'GET kv-key': (query) => {
      const item = items.get(query.get('key'));
      return item ? [200, { ...item, at: revision }] : [404, { at: revision }];
    },
    'GET kv-range': (query) => {
      const from = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(query.get('prefix') ?? '') && key > from)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, { items: found.slice(0, 500), has_more: found.length > 500, at: revision }];
    },
    'GET kv-watch': async (query, _body, closed) => {
      const prefix = query.get('prefix') ?? '';
      const after = Number(query.get('after'));
      if (eventsAfter(prefix, after).length === 0) {
        await new Promise((resolve) => {
          let timer;
          let wake;
          const end = () => {
            clearTimeout(timer);
            waiters.delete(wake);
            resolve();
          };
          wake = () => {
            if (eventsAfter(prefix, after).length > 0) end();
          };
          timer = setTimeout(end, Number(query.get('wait_ms') ?? 0));
          waiters.add(wake);
          closed.then(end);
        });
      }
      return [200, { events: eventsAfter(prefix, after), at: revision }];
    },
    'POST kv-txn': (_query, body) => {
      const expected = body.expected_revision ?? [];
      const differs = expected.some((row) => (items.get(row.key)?.revision ?? 0) !== row.revision);
      if (differs) {
        return [412, { items: expected.flatMap(({ key }) => items.get(key) ?? []) }];
      }
      const writes = body.writes ?? [];
      if (writes.some(({ lease_id: id }) => id && !leases.has(id))) return [404, {}];
      revision += 1;
      writes.forEach(({ key, value, lease_id: id }) => put(key, value, id));
      (body.remove ?? []).forEach(remove);
      changed();
      return [200, { revision }];
    },
    'POST kv-lease': (_query, body) => {
      lastLease += 1;
      leases.set(lastLease, { ttlMs: body.ttl_ms, timer: undefined });
      renew(lastLease);
      return [200, { lease_id: lastLease, ttl_ms: body.ttl_ms }];
    },
    'POST kv-keep': (_query, _body, _closed, id) => [renew(Number(id)) ? 200 : 404, {}],
    'DELETE kv-lease-end': (_query, _body, _closed, id) => [endLease(Number(id)) ? 200 : 404, {}],
  };

  const server = http.createServer(async (req, res) => {
    const body = await text(req);
    if (faults.silent) return;
    const url = new URL(req.url, 'http://store');
    const [, , name, id] = url.pathname.split('/');
    const route = routes[`${req.method} ${name}`];
    const closed = new Promise((resolve) => {
      res.once('close', resolve);
    });
    const [status, answer] = route
      ? await route(url.searchParams, body === '' ? {} : JSON.parse(body), closed, id)
      : [405, {}];
    if (res.destroyed || faults.silent) return;
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(answer));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
  });
  return {
    faults,
    /** Writes a key as the operator does. */
    write(key, value) {
      revision += 1;
      put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
      changed();
    },
    erase(key) {
      revision += 1;
      remove(key);
      changed();
    },
    keys: () => [...items.keys()],
    close() {
      leases.forEach(({ timer }) => clearTimeout(timer));
      server.closeAllConnections();
      server.close();
    },
  };
}
