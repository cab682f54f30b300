import Backoff from '../core/Backoff';
import type { Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import KeepAlive from '../link/KeepAlive';
import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import readMessages from '../peering/readMessages';
import type EntryLinksOptions from './EntryLinksOptions';
import type EntryPeer from './EntryPeer';

/**
 * The links to the other entries. Each pair of entries has one link, dialled by the
 * one whose incarnation sorts first and served by one async task on each side.
 */
export default class EntryLinks {
  private readonly peers = new Map<string, EntryPeer>();

  private readonly dials = new Map<string, AbortController>();

  private lastSession = 0n;

  private constructor(private readonly options: EntryLinksOptions) {}

  /** Creates an empty set of links. */
  static create(options: EntryLinksOptions): EntryLinks {
    return new EntryLinks(options);
  }

  /** Incarnations of the entries with an open link. */
  linked(): string[] {
    return [...this.peers.values()]
      .filter(({ link }) => link)
      .map(({ incarnation }) => incarnation);
  }

  /**
   * Whether an entry seems to be down. A wrong suspicion costs only a retry;
   * removal from the view is decided separately, see `Membership`.
   */
  isSuspected(incarnation: string): boolean {
    const peer = this.peers.get(incarnation);
    if (!peer) return false;
    if (peer.link) return peer.suspected;
    return this.options.timer.now() - peer.disconnectedAt >= this.options.keepAlive.suspectMs;
  }

  /** Sends a message to an entry; false when there is no link to it. */
  send(incarnation: string, message: PeerMessage): boolean {
    const link = this.peers.get(incarnation)?.link;
    link?.send(message);
    return link !== undefined;
  }

  /** Sends a message to every linked entry. */
  broadcast(message: PeerMessage): void {
    this.peers.forEach(({ link }) => link?.send(message));
  }

  /** Maintains links to the members of a newer view and drops peers that are no longer members. */
  followView(view: View): void {
    const others = view.members.filter(({ incarnation }) => incarnation !== this.options.self);
    others.forEach((member) => {
      this.getOrCreatePeer(member.incarnation);
      if (this.options.self < member.incarnation) this.startDialling(member);
    });
    const members = new Set(others.map(({ incarnation }) => incarnation));
    this.peers.forEach((peer, incarnation) => {
      if (!members.has(incarnation)) this.remove(peer);
    });
  }

  /** Serves another entry's link until it ends. */
  async serve(link: Link): Promise<void> {
    const peer = this.getOrCreatePeer(link.peer.incarnation);
    const previous = peer.link;
    peer.link = link;
    peer.suspected = false;
    previous?.close();
    this.options.sendInitialState(link);
    const keepAlive = KeepAlive.start(link, this.options.timer, this.options.keepAlive, {
      heartbeat: () => ({ case: 'heartbeat', value: this.options.heartbeat() }),
      onSuspicionChange: (suspected) => this.setSuspected(peer, suspected),
    });
    await readMessages(link, {
      onMessage: (message) => this.options.onMessage(peer.incarnation, message),
      onError: (message, error) => this.options.onMessageError(link.peer, message, error),
    });
    keepAlive.stop();
    this.linkEnded(peer, link);
  }

  /** Closes all links and stops dialling. */
  close(): void {
    this.dials.forEach((controller) => controller.abort());
    this.peers.forEach(({ link }) => link?.close());
  }

  private getOrCreatePeer(incarnation: string): EntryPeer {
    let peer = this.peers.get(incarnation);
    if (!peer) {
      const disconnectedAt = this.options.timer.now();
      peer = { incarnation, link: undefined, suspected: false, disconnectedAt };
      this.peers.set(incarnation, peer);
    }
    return peer;
  }

  private startDialling(member: Member): void {
    if (this.dials.has(member.incarnation)) return;
    const stop = new AbortController();
    this.dials.set(member.incarnation, stop);
    this.dial(member, stop.signal);
  }

  private async dial(member: Member, stop: AbortSignal): Promise<void> {
    const { timer, random, network, hello } = this.options;
    const backoff = Backoff.of(MIN_REDIAL_MS, MAX_REDIAL_MS, random);
    while (!stop.aborted) {
      this.lastSession += 1n;
      const dialled = await network.dial(member.address, { ...hello(), session: this.lastSession });
      if (dialled.isOk()) {
        await this.serveOrClose(dialled.value, member, stop);
        backoff.reset();
      }
      if (!stop.aborted) await timer.sleep(backoff.next(), stop);
    }
  }

  private async serveOrClose(link: Link, member: Member, stop: AbortSignal): Promise<void> {
    if (stop.aborted || link.peer.incarnation !== member.incarnation) {
      link.close();
      return;
    }
    await this.serve(link);
  }

  private setSuspected(peer: EntryPeer, suspected: boolean): void {
    peer.suspected = suspected;
    if (suspected) this.options.metrics?.suspected('entry');
    this.options.onSuspicionChange();
  }

  private linkEnded(peer: EntryPeer, link: Link): void {
    if (peer.link !== link) return;
    peer.link = undefined;
    peer.disconnectedAt = this.options.timer.now();
    this.options.onUnlinked(peer.incarnation);
    this.options.timer.after(this.options.keepAlive.suspectMs, () =>
      this.options.onSuspicionChange(),
    );
  }

  private remove(peer: EntryPeer): void {
    this.peers.delete(peer.incarnation);
    this.dials.get(peer.incarnation)?.abort();
    this.dials.delete(peer.incarnation);
    const { link } = peer;
    peer.link = undefined;
    link?.close();
    this.options.onUnlinked(peer.incarnation);
  }
}

const MIN_REDIAL_MS = 100;
const MAX_REDIAL_MS = 2000;
