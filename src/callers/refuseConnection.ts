import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import type TimerService from '../core/TimerService';
import errorBody from './errorBody';
import type RequestError from './RequestError';

/**
 * Answers what can't be read as a request, in the form of every other refusal,
 * and ends the connection. What the sender still sends is not read; the
 * connection stays open for a moment, so that the refusal arrives.
 */
export default function refuseConnection(socket: Duplex, code: string, timer: TimerService): void {
  if (!socket.writable) return;
  const error = errors[code] ?? MALFORMED;
  const { outcome, body } = errorBody(error, 0);
  const head = [
    `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status]}`,
    'Content-Type: application/json',
    `Content-Length: ${body.length}`,
    `Magnoliakeel-Outcome: ${outcome}`,
    'Connection: close',
  ];
  const destroyed = timer.after(LINGER_MS, () => socket.destroy());
  socket.on('close', () => destroyed.cancel());
  socket.on('error', () => socket.destroy());
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** How long a refused connection stays open after the refusal. */
const LINGER_MS = 500;

const MALFORMED: RequestError = { status: 400, reason: 'request: not well-formed HTTP' };

/** Refusals by Node's error code. */
const errors: Readonly<Record<string, RequestError>> = {
  HPE_HEADER_OVERFLOW: { status: 431, reason: 'headers: larger than the limit' },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { status: 413, reason: 'body: chunk extensions are too large' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: 'request: not received whole in time' },
};
