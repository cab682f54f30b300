import type { Http2Session } from 'node:http2';

const SESSION_WINDOW_BYTES = 16 * 1024 * 1024;

/**
 * Makes the receive window of a session much larger than that of a stream, so that an unread stream does not
 * block others.
 */
export default function enlargeSessionWindow(session: Http2Session): void {
  if (session.destroyed) return;
  session.setLocalWindowSize(SESSION_WINDOW_BYTES);
}
