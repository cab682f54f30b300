import type PeerMessage from './PeerMessage';

/** A lookup table of what to do with each kind of message; kinds left out are ignored. */
type MessageHandlers<Context> = {
  readonly [M in PeerMessage as M['case']]?: (context: Context, value: M['value']) => void;
};

export type { MessageHandlers as default };
