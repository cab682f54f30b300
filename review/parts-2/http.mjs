/* global Buffer */
// These rules are off for the TypeScript files of the project, or forbid its usual forms.
/* eslint-disable no-restricted-syntax */
import { request } from 'node:http';

/** Reads the JSON body of a request or a response; an empty object if there is none. */
export async function readJson(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/** Answers with a JSON body. */
export function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Makes a call on a connection of its own; resolves to status and body, or to `failure` without an answer. */
export function call(address, method, path, { body, headers = {}, timeoutMs = 5_000 } = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  const bodyHeaders =
    text === undefined
      ? {}
      : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
  return new Promise((resolve) => {
    const req = request(
      { host, port, method, path, agent: false, headers: { ...headers, ...bodyHeaders } },
      (res) =>
        readJson(res).then(
          (answer) => resolve({ status: res.statusCode, body: answer }),
          (error) => resolve({ failure: error.message }),
        ),
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer in time')));
    req.on('error', (error) => resolve({ failure: error.message }));
    req.end(text);
  });
}
