// Stand-in of the platform's metadata store: keys, ranges, watches, transactions and leases over HTTP.
/* eslint-disable no-await-in-loop -- a watch waits for one change after the other */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { json } from 'node:stream/consumers';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** How long a revision stays in the history that watches read, ms. */
const HISTORY_MS = 20_000;

/** Delay of each response, ms. */
const ANSWER_MS = 4;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export default class Store {
  constructor() {
    this.items = new Map();
    this.events = [];
    this.revision = 100;
    this.leases = new Map();
    this.lastLease = 0;
    this.waiting = new Set();
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** Listens on "ip:port"; resolves to the address. */
  async listen(ip, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    return `${ip}:${port}`;
  }

  close() {
    this.leases.forEach(({ timer }) => clearTimeout(timer));
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a key as the operator does; the return is the acknowledgement. */
  operatorPut(key, value) {
    this.revision += 1;
    this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.wake();
    return performance.now();
  }

  put(key, value, lease) {
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease_id: lease };
    this.items.set(key, item);
    this.record(item);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.record({ key, revision: this.revision, deleted: true });
  }

  record(event) {
    const now = performance.now();
    this.events.push({ event, at: now });
    while (this.events.length > 0 && this.events[0].at < now - HISTORY_MS) this.events.shift();
  }

  wake() {
    [...this.waiting].forEach((resume) => resume());
  }

  renew(id) {
    const lease = this.leases.get(id);
    if (!lease) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    return true;
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (!lease) return;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items.values()].filter((item) => item.lease_id === id);
    if (keys.length > 0) this.revision += 1;
    keys.forEach(({ key }) => this.remove(key));
    this.wake();
  }

  async serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const [, , call, id] = url.pathname.split('/');
    const body = req.method === 'POST' ? await json(req).catch(() => ({})) : {};
    await sleep(ANSWER_MS);
    const reply = await this.answer(`${req.method} ${call}`, id, url.searchParams, body, res);
    const text = JSON.stringify(reply.body ?? {});
    res.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    res.end(text);
  }

  async answer(call, id, query, body, res) {
    switch (call) {
      case 'GET kv-key': {
        const item = this.items.get(query.get('key'));
        return item ? { status: 200, body: { ...item, at: this.revision } } : { status: 404 };
      }
      case 'GET kv-range': {
        const prefix = query.get('prefix') ?? '';
        const after = query.get('after') ?? '';
        const items = [...this.items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        return { status: 200, body: { items, has_more: false, at: this.revision } };
      }
      case 'GET kv-watch':
        return this.watch(query, res);
      case 'POST kv-txn':
        return this.transact(body);
      case 'POST kv-lease': {
        this.lastLease += 1;
        this.leases.set(this.lastLease, { ttlMs: body.ttl_ms });
        this.renew(this.lastLease);
        return { status: 200, body: { lease_id: this.lastLease, ttl_ms: body.ttl_ms } };
      }
      case 'POST kv-keep':
        return { status: this.renew(Number(id)) ? 200 : 404, body: {} };
      case 'DELETE kv-lease-end':
        this.endLease(Number(id));
        return { status: 200, body: {} };
      default:
        return { status: 400, body: {} };
    }
  }

  async watch(query, res) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const until = performance.now() + Number(query.get('wait_ms') ?? 0);
    const isOver = () => performance.now() >= until || res.destroyed;
    const find = () =>
      this.events
        .map(({ event }) => event)
        .filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    let events = find();
    while (events.length === 0 && !isOver()) {
      await this.nextChange(until - performance.now());
      events = find();
    }
    return { status: 200, body: { events, at: this.revision } };
  }

  nextChange(limitMs) {
    return new Promise((resolve) => {
      let timer;
      const resume = () => {
        clearTimeout(timer);
        this.waiting.delete(resume);
        resolve();
      };
      timer = setTimeout(resume, Math.max(1, limitMs));
      this.waiting.add(resume);
    });
  }

  transact({ expected_revision: expected = [], writes = [], remove = [] }) {
    const isMet = expected.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      return { status: 412, body: { items } };
    }
    if (writes.some((each) => each.lease_id > 0 && !this.leases.has(each.lease_id))) {
      return { status: 404, body: {} };
    }
    if ([...writes.map(({ key }) => key), ...remove].some((key) => /^(op|servers)\//.test(key))) {
      return { status: 403, body: {} };
    }
    this.revision += 1;
    writes.forEach(({ key, value, lease_id: lease = 0 }) => this.put(key, value, lease));
    remove.forEach((key) => this.remove(key));
    this.wake();
    return { status: 200, body: { revision: this.revision } };
  }
}
