import type PeerMessage from '../link/PeerMessage';
import type EntryPeer from './EntryPeer';

/** The entries that a sidecar is linked to, by incarnation. */
export default class Entries {
  private readonly peers = new Map<string, EntryPeer>();

  private constructor() {}

  /** Creates the set for a sidecar without links. */
  static create(): Entries {
    return new Entries();
  }

  get size(): number {
    return this.peers.size;
  }

  get(incarnation: string): EntryPeer | undefined {
    return this.peers.get(incarnation);
  }

  all(): EntryPeer[] {
    return [...this.peers.values()];
  }

  /** Adds a linked entry; false when there is a link to it already. */
  add(peer: EntryPeer): boolean {
    if (this.peers.has(peer.incarnation)) return false;
    this.peers.set(peer.incarnation, peer);
    return true;
  }

  remove(peer: EntryPeer): void {
    this.peers.delete(peer.incarnation);
  }

  broadcast(message: PeerMessage): void {
    this.all().forEach((peer) => peer.send(message));
  }
}
