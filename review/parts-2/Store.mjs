/* global Buffer, URL, clearTimeout, setTimeout */
// These rules are off for the TypeScript files of the project, or forbid its usual forms.
/* eslint-disable no-await-in-loop */
import { createServer } from 'node:http';
import { once } from 'node:events';
import { readJson, sendJson } from './http.mjs';

/** Stand-in of the platform's metadata store: keys, leases, transactions and watches, all in memory. */
export default class Store {
  revision = 1;

  items = new Map();

  leases = new Map();

  events = [];

  #waiters = new Set();

  #lastLease = 100;

  constructor() {
    this.server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
  }

  async listen(host, port) {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    this.address = `${host}:${port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a key on behalf of the operator. */
  put(key, value) {
    this.#apply([{ key, value: Buffer.from(value).toString('base64'), lease_id: 0 }], []);
  }

  #endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const keys = [...this.items.values()].filter((item) => item.lease_id === id);
    if (keys.length > 0)
      this.#apply(
        [],
        keys.map(({ key }) => key),
      );
  }

  #apply(writes, removed) {
    this.revision += 1;
    const { revision } = this;
    writes.forEach(({ key, value, lease_id: lease = 0 }) => {
      const created = this.items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease_id: lease };
      this.items.set(key, item);
      this.events.push(item);
    });
    removed.forEach((key) => {
      if (this.items.delete(key)) this.events.push({ key, revision, deleted: true });
    });
    [...this.#waiters].forEach((wake) => wake());
    return revision;
  }

  async #serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const [, , call, id] = url.pathname.split('/');
    const body = await readJson(req);
    const query = url.searchParams;
    const handlers = {
      'kv-key': () => this.#getKey(res, query.get('key')),
      'kv-range': () => this.#list(res, query),
      'kv-watch': () => this.#watch(req, res, query),
      'kv-txn': () => this.#commit(res, body),
      'kv-lease': () => this.#grant(res, body),
      'kv-keep': () => this.#keep(res, Number(id)),
      'kv-lease-end': () => {
        this.#endLease(Number(id));
        sendJson(res, 200, {});
      },
    };
    const handler = handlers[call];
    if (handler) await handler();
    else sendJson(res, 404, {});
  }

  #getKey(res, key) {
    const item = this.items.get(key);
    sendJson(res, item ? 200 : 404, item ? { ...item, at: this.revision } : {});
  }

  #list(res, query) {
    const prefix = query.get('prefix');
    const after = query.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(res, 200, { items, has_more: false, at: this.revision });
  }

  async #watch(req, res, query) {
    const prefix = query.get('prefix');
    const after = Number(query.get('after'));
    const until = Date.now() + Number(query.get('wait_ms'));
    const changes = () =>
      this.events.filter((event) => event.key.startsWith(prefix) && event.revision > after);
    while (changes().length === 0 && Date.now() < until && !req.destroyed) {
      await new Promise((resolve) => {
        const wake = () => {
          this.#waiters.delete(wake);
          resolve();
        };
        this.#waiters.add(wake);
        setTimeout(wake, Math.max(1, until - Date.now()));
      });
    }
    sendJson(res, 200, { events: changes(), at: this.revision });
  }

  #commit(res, { expected_revision: expected = [], writes = [], remove = [] }) {
    const isMet = expected.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      sendJson(res, 412, { items });
      return;
    }
    const isLeased = writes.every(
      ({ lease_id: lease = 0 }) => lease === 0 || this.leases.has(lease),
    );
    if (isLeased) sendJson(res, 200, { revision: this.#apply(writes, remove) });
    else sendJson(res, 404, {});
  }

  #grant(res, { ttl_ms: ttlMs }) {
    this.#lastLease += 1;
    const id = this.#lastLease;
    this.leases.set(id, { ttlMs });
    this.#renew(id);
    sendJson(res, 200, { lease_id: id, ttl_ms: ttlMs });
  }

  #keep(res, id) {
    const isThere = this.leases.has(id);
    if (isThere) this.#renew(id);
    sendJson(res, isThere ? 200 : 404, {});
  }

  #renew(id) {
    const lease = this.leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttlMs);
    lease.timer.unref();
  }
}
