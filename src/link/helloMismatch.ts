import type { Hello } from '../gen/magnoliakeel/v1/peer_pb';

/** Returns why a process must not link with this peer, or undefined if it may. */
export default function helloMismatch(peer: Hello, own: Hello): string | undefined {
  if (peer.cluster !== own.cluster) {
    return `wrong cluster: this is "${own.cluster}", the peer belongs to "${peer.cluster}"`;
  }
  if (peer.protocol !== own.protocol) {
    return `wrong protocol version: this is ${own.protocol}, the peer speaks ${peer.protocol}`;
  }
  return undefined;
}
