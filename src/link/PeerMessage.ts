import type { Message } from '../gen/magnoliakeel/v1/peer_pb';

/** One message on a link; `case` is its kind. */
type PeerMessage = Exclude<Message['kind'], { case: undefined }>;
export type { PeerMessage as default };
