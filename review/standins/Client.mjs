// Stand-in of the clients: sends jobs and cancellations, each over a connection of its own, and records what it sends
// and what it is answered.
import { Buffer } from 'node:buffer';
import { request } from 'node:http';

/** The host of all routes. */
export const HOST = 'nony24.example';

export default class Client {
  constructor(deployment) {
    this.deployment = deployment;
  }

  /** Sends a best-effort job to an entry; resolves to its answer. */
  post(entry, route, id, job, deadlineMs = 30_000) {
    const headers = { 'x-deadline-ms': deadlineMs };
    return this.call(entry, 'POST', `/${route}/${id}`, { best_effort: true, ...job }, headers);
  }

  /** Asks an entry to cancel a job. */
  cancel(entry, route, id) {
    return this.call(entry, 'DELETE', `/${route}/${id}`);
  }

  /** Resolves to the status and body of the response, or to how the connection ended without one. */
  async call(entry, method, path, body, headers = {}) {
    const { deployment } = this;
    const sentAt = deployment.now;
    deployment.record('client', 'sent', { method, path, entry: entry + 1 });
    const answer = await send(deployment.frontend(entry), method, path, body, headers);
    deployment.record('client', 'answered', { method, path, entry: entry + 1, sentAt, ...answer });
    return { ...answer, sentAt, answeredAt: deployment.now };
  }
}

function send(address, method, path, body, headers) {
  const [ip, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  const bodyHeaders = text && {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  };
  return new Promise((resolve) => {
    const req = request({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: { host: HOST, ...headers, ...bodyHeaders },
    });
    req.on('response', (res) => {
      const parts = [];
      res.on('data', (part) => parts.push(part));
      res.on('end', () =>
        resolve({ status: res.statusCode, body: Buffer.concat(parts).toString() }),
      );
      res.on('error', ({ message }) => resolve({ broken: message }));
    });
    req.on('error', ({ code, message }) => resolve({ broken: code ?? message }));
    req.end(text);
  });
}
