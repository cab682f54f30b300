import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';

interface ReadLinkOptions {
  /** Handles one message. */
  readonly handle: (message: PeerMessage) => void;
  /** Told of a message that could not be handled; the link goes on with the next. */
  readonly failed: (message: PeerMessage, error: unknown) => void;
}

/** Reads a link's messages to its end, one after the other. */
export default async function readLink(
  link: Link,
  { handle, failed }: ReadLinkOptions,
): Promise<void> {
  for await (const message of link.messages()) {
    if (link.closed.aborted) break;
    try {
      handle(message);
    } catch (error) {
      failed(message, error);
    }
  }
  link.close();
}
