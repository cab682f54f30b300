import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';

interface ReadMessagesOptions {
  /** Handles one message. */
  readonly onMessage: (message: PeerMessage) => void;
  /** Told of a message that could not be handled; the link goes on with the next. */
  readonly onError: (message: PeerMessage, error: unknown) => void;
}

/** Reads a link's messages to its end, one after the other. */
export default async function readMessages(
  link: Link,
  { onMessage: handle, onError: failed }: ReadMessagesOptions,
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
