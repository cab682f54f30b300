import type { Http2Session } from 'node:http2';

const SESSION_WINDOW_BYTES = 16 * 1024 * 1024;

/** Lets a session receive far more than one stream may, so that a stream nobody reads holds up no other. */
export default function enlargeSessionWindow(session: Http2Session): void {
  if (session.destroyed) return;
  session.setLocalWindowSize(SESSION_WINDOW_BYTES);
}
