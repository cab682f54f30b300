import { Peer } from '../gen/magnoliakeel/v1/peer_pb';

/** The only method whose stream is read and written without the RPC library: see `FrameReader`. */
const LINK_RPC = {
  path: `/${Peer.typeName}/${Peer.method.link.name}`,
  /** Content type of a stream in the Connect protocol with binary messages. */
  contentType: 'application/connect+proto',
} as const;

export default LINK_RPC;
