import type MessageHandlers from './MessageHandlers';
import type PeerMessage from './PeerMessage';

/** Calls the handler for the kind of a message, if there is one. */
export default function handleMessage<Context>(
  handlers: MessageHandlers<Context>,
  context: Context,
  message: PeerMessage,
): void {
  const handle = handlers[message.case] as Handler<Context> | undefined;
  handle?.(context, message.value);
}

type Handler<Context> = (context: Context, value: PeerMessage['value']) => void;
