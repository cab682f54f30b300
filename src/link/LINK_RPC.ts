import { Peer } from '../gen/magnoliakeel/v1/peer_pb';

/** The one call whose stream is read and written without the RPC library: see `FrameReader`. */
const LINK_RPC = {
  path: `/${Peer.typeName}/${Peer.method.link.name}`,
  /** What a stream of the Connect protocol with binary messages is labelled with. */
  contentType: 'application/connect+proto',
} as const;

export default LINK_RPC;
