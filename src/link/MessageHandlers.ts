import type PeerMessage from './PeerMessage';

/** A table of handlers by kind of message; kinds without a handler are ignored. */
type MessageHandlers<Context> = {
  readonly [M in PeerMessage as M['case']]?: (context: Context, value: M['value']) => void;
};

export type { MessageHandlers as default };
