// A stand-in for a client of the callers' interface.
import { Buffer } from 'node:buffer';
import http from 'node:http';

/** Makes one request; resolves to its status and text, with status 0 if there was no complete response. */
export default function request({ host, port, method, path, virtualHost, deadlineMs, body }) {
  const text = body === undefined ? undefined : JSON.stringify(body);
  const headers = { host: virtualHost };
  if (deadlineMs !== undefined) headers['x-deadline-ms'] = deadlineMs;
  if (text !== undefined) {
    headers['content-type'] = 'application/json';
    headers['content-length'] = Buffer.byteLength(text);
  }
  let req;
  const response = new Promise((resolve) => {
    req = http.request({ host, port, method, path, headers, agent: false }, (res) => {
      let received = '';
      res.setEncoding('utf8');
      res.on('data', (chunk) => {
        received += chunk;
      });
      res.on('end', () => resolve({ status: res.statusCode, text: received }));
      res.on('error', (error) => resolve({ status: 0, text: String(error) }));
    });
    req.on('error', (error) => resolve({ status: 0, text: error.code ?? String(error) }));
    req.end(text);
  });
  return { response, abandon: () => req.destroy() };
}
