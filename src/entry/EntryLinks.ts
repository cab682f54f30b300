import Backoff from '../core/Backoff';
import type { Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import KeepAlive from '../link/KeepAlive';
import type Link from '../link/Link';
import type PeerMessage from '../link/PeerMessage';
import readMessages from '../peering/readMessages';
import type EntryLinksOptions from './EntryLinksOptions';
import type EntryPeer from './EntryPeer';

/**
 * The links between this entry and the others: one for each pair, opened by
 * the one whose incarnation sorts first, and served by one task on each side.
 */
export default class EntryLinks {
  private readonly peers = new Map<string, EntryPeer>();

  private readonly dialling = new Map<string, AbortController>();

  private sessions = 0n;

  private constructor(private readonly options: EntryLinksOptions) {}

  /** Creates the links of an entry, none yet. */
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
   * Whether an entry seems to be down. A wrong suspicion costs nothing but a
   * detour; removal from the view is another matter, see `Membership`.
   */
  isSuspected(incarnation: string): boolean {
    const peer = this.peers.get(incarnation);
    if (!peer) return false;
    if (peer.link) return peer.suspected;
    return this.options.timer.now() - peer.disconnectedAt >= this.options.keepAlive.suspectMs;
  }

  /** Sends to an entry; false when there is no link to it. */
  send(incarnation: string, message: PeerMessage): boolean {
    const link = this.peers.get(incarnation)?.link;
    link?.send(message);
    return link !== undefined;
  }

  /** Sends a message to every linked entry. */
  broadcast(message: PeerMessage): void {
    this.peers.forEach(({ link }) => link?.send(message));
  }

  /** Keeps links to the members of a newer view, and forgets those that are no members any more. */
  follow(view: View): void {
    const others = view.members.filter(({ incarnation }) => incarnation !== this.options.self);
    others.forEach((member) => {
      this.peerOf(member.incarnation);
      if (this.options.self < member.incarnation) this.keepDialling(member);
    });
    const present = new Set(others.map(({ incarnation }) => incarnation));
    this.peers.forEach((peer, incarnation) => {
      if (!present.has(incarnation)) this.forget(peer);
    });
  }

  /** Serves another entry's link until it ends. */
  async serve(link: Link): Promise<void> {
    const peer = this.peerOf(link.peer.incarnation);
    const older = peer.link;
    peer.link = link;
    peer.suspected = false;
    older?.close();
    this.options.greet(link);
    const keepAlive = KeepAlive.start(link, this.options.timer, this.options.keepAlive, {
      heartbeat: () => ({ case: 'heartbeat', value: this.options.heartbeat() }),
      onSuspicionChange: (suspected) => this.suspect(peer, suspected),
    });
    await readMessages(link, {
      onMessage: (message) => this.options.receive(peer.incarnation, message),
      onError: (message, error) => this.options.failed(link.peer, message, error),
    });
    keepAlive.stop();
    this.end(peer, link);
  }

  /** Ends all links and stops dialling. */
  close(): void {
    this.dialling.forEach((dial) => dial.abort());
    this.peers.forEach(({ link }) => link?.close());
  }

  private peerOf(incarnation: string): EntryPeer {
    let peer = this.peers.get(incarnation);
    if (!peer) {
      const absentSince = this.options.timer.now();
      peer = { incarnation, link: undefined, suspected: false, disconnectedAt: absentSince };
      this.peers.set(incarnation, peer);
    }
    return peer;
  }

  private keepDialling(member: Member): void {
    if (this.dialling.has(member.incarnation)) return;
    const stop = new AbortController();
    this.dialling.set(member.incarnation, stop);
    this.dial(member, stop.signal);
  }

  private async dial(member: Member, stop: AbortSignal): Promise<void> {
    const { timer, random, network, hello } = this.options;
    const backoff = Backoff.of(FIRST_REDIAL_MS, LAST_REDIAL_MS, random);
    while (!stop.aborted) {
      this.sessions += 1n;
      const dialled = await network.dial(member.address, { ...hello(), session: this.sessions });
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

  private suspect(peer: EntryPeer, suspected: boolean): void {
    peer.suspected = suspected;
    if (suspected) this.options.metrics?.suspected('entry');
    this.options.onSuspicionChange();
  }

  private end(peer: EntryPeer, link: Link): void {
    if (peer.link !== link) return;
    peer.link = undefined;
    peer.disconnectedAt = this.options.timer.now();
    this.options.unlinked(peer.incarnation);
    this.options.timer.after(this.options.keepAlive.suspectMs, () =>
      this.options.onSuspicionChange(),
    );
  }

  private forget(peer: EntryPeer): void {
    this.peers.delete(peer.incarnation);
    this.dialling.get(peer.incarnation)?.abort();
    this.dialling.delete(peer.incarnation);
    const { link } = peer;
    peer.link = undefined;
    link?.close();
    this.options.unlinked(peer.incarnation);
  }
}

const FIRST_REDIAL_MS = 100;
const LAST_REDIAL_MS = 2000;
