import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';

interface ReadMessagesOptions {
  /** Handles one message. */
  readonly onMessage: (message: PeerMessage) => void;
  /** Called with a message whose handler threw an error; the next message is handled as usual. */
  readonly onError: (message: PeerMessage, error: unknown) => void;
}

/** Handles the messages of a link one after the other until it ends, then closes it. */
export default async function readMessages(
  link: Link,
  { onMessage, onError }: ReadMessagesOptions,
): Promise<void> {
  for await (const message of link.messages()) {
    if (link.closed.aborted) break;
    try {
      onMessage(message);
    } catch (error) {
      onError(message, error);
    }
  }
  link.close();
}
