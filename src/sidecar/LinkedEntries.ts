import type PeerMessage from '../link/PeerMessage';
import type LinkedEntry from './LinkedEntry';

/** The entries that a sidecar is linked to, keyed by incarnation. */
export default class LinkedEntries {
  private readonly peers = new Map<string, LinkedEntry>();

  private constructor() {}

  /** Creates an empty set. */
  static create(): LinkedEntries {
    return new LinkedEntries();
  }

  /** Number of linked entries. */
  get size(): number {
    return this.peers.size;
  }

  /** The linked entry with this incarnation, if any. */
  get(incarnation: string): LinkedEntry | undefined {
    return this.peers.get(incarnation);
  }

  /** All linked entries, in the order in which they were linked. */
  all(): LinkedEntry[] {
    return [...this.peers.values()];
  }

  /** Adds a linked entry; false when a link to it already exists. */
  add(peer: LinkedEntry): boolean {
    if (this.peers.has(peer.incarnation)) return false;
    this.peers.set(peer.incarnation, peer);
    return true;
  }

  /** Removes an entry whose link has ended. */
  remove(peer: LinkedEntry): void {
    this.peers.delete(peer.incarnation);
  }

  /** Sends a message to every linked entry. */
  broadcast(message: PeerMessage): void {
    this.all().forEach((peer) => peer.send(message));
  }
}
