import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import type TimerService from '../core/TimerService';
import errorBody from './errorBody';
import type RequestError from './RequestError';

/**
 * Responds to input that can't be parsed as a request in the form of all other
 * refusals, and closes the connection. Further input is not read; the connection
 * stays open for a short time, so that the refusal arrives.
 */
export default function refuseConnection(socket: Duplex, code: string, timer: TimerService): void {
  if (!socket.writable) return;
  const error = refusalByErrorCode[code] ?? MALFORMED;
  const { outcome, body } = errorBody(error, 0);
  const head = [
    `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status]}`,
    'Content-Type: application/json',
    `Content-Length: ${body.length}`,
    `Magnoliakeel-Outcome: ${outcome}`,
    'Connection: close',
  ];
  const destroyTimer = timer.after(LINGER_MS, () => socket.destroy());
  socket.on('close', () => destroyTimer.cancel());
  socket.on('error', () => socket.destroy());
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** How long a connection stays open after its refusal, ms. */
const LINGER_MS = 500;

const MALFORMED: RequestError = { status: 400, reason: 'request: not well-formed HTTP' };

/** Refusals by error code of Node. */
const refusalByErrorCode: Readonly<Record<string, RequestError>> = {
  HPE_HEADER_OVERFLOW: { status: 431, reason: 'headers: larger than the limit' },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { status: 413, reason: 'body: chunk extensions are too large' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: 'request: not received whole in time' },
};
