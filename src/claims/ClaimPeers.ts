import type TimerService from '../core/TimerService';
import type { SeenEntry } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import RUN_END_BOUND_MS from '../runs/RUN_END_BOUND_MS';
import claimLimits from './claimLimits';
import ClaimPeer from './ClaimPeer';

/** A link that has ended. */
interface EndedLink {
  readonly instance: string;
  readonly at: number;
  /** Whether it broke; an entry that has left gracefully has nothing open. */
  readonly isBroken: boolean;
}

/** The other entries: those that are linked, and those that were recently. */
export default class ClaimPeers {
  private readonly peersByLink = new Map<Link, ClaimPeer>();

  /** The last link to each process that is no longer linked, by incarnation. */
  private readonly endedLinks = new Map<string, EndedLink>();

  private constructor(
    private readonly timer: TimerService,
    private readonly liveEntries: () => readonly SeenEntry[] | undefined,
  ) {}

  /** Creates an empty set; `liveEntries` returns the processes known to sidecars to be alive, if any has reported. */
  static create(
    timer: TimerService,
    liveEntries: () => readonly SeenEntry[] | undefined,
  ): ClaimPeers {
    return new ClaimPeers(timer, liveEntries);
  }

  /** Adds an entry whose link has opened. */
  add(link: Link): ClaimPeer {
    const peer = ClaimPeer.of(link, this.timer);
    this.peersByLink.set(link, peer);
    this.endedLinks.delete(link.peer.incarnation);
    return peer;
  }

  /** Removes a link that has ended. */
  remove(link: Link): void {
    this.peersByLink.get(link)?.close();
    this.peersByLink.delete(link);
    const { instance, incarnation } = link.peer;
    const at = this.timer.now();
    const isBroken = link.failure !== undefined;
    if (!this.byProcess(incarnation)) this.endedLinks.set(incarnation, { instance, at, isBroken });
    this.pruneEndedLinks(at);
  }

  /** The entry at the other end of a link. */
  byLink(link: Link): ClaimPeer | undefined {
    return this.peersByLink.get(link);
  }

  /** A linked process by its newest link, as an older one may be dead. */
  byProcess(incarnation: string): ClaimPeer | undefined {
    const peers = [...this.peersByLink.values()];
    return peers.findLast(({ hello }) => hello.incarnation === incarnation);
  }

  /**
   * The entries that can be registrars, by instance. An unreachable one is included, without a peer, while its link may
   * come back soon, and as long as sidecars know it to be alive, since it may be this process that is isolated. Until a
   * sidecar has reported, it is assumed to be alive.
   */
  get registrarCandidates(): ReadonlyMap<string, ClaimPeer | undefined> {
    const candidates = new Map<string, ClaimPeer | undefined>();
    const alive = this.liveEntries();
    const since = alive ? this.timer.now() - claimLimits.reconnectGraceMs : -Infinity;
    this.endedLinks.forEach(({ instance, at, isBroken }) => {
      if (isBroken && at > since) candidates.set(instance, undefined);
    });
    alive?.forEach(({ instance }) => candidates.set(instance, undefined));
    this.peersByLink.forEach((peer) => {
      const { instance } = peer.hello;
      if (!alive || !peer.isUnreachable || candidates.has(instance)) candidates.set(instance, peer);
    });
    return candidates;
  }

  /** Whether a process may be alive according to the sidecars. */
  mayBeAlive(incarnation: string): boolean {
    return this.liveEntries()?.some((entry) => entry.incarnation === incarnation) ?? true;
  }

  /** How long ago the last link to a process ended, ms; undefined while it is linked, or not known to be gone. */
  goneMs(incarnation: string): number | undefined {
    const endedAt = this.endedLinks.get(incarnation)?.at;
    if (endedAt === undefined || this.mayBeAlive(incarnation)) return undefined;
    return this.timer.now() - endedAt;
  }

  /** Whether all runs of a process that was once linked have ended. */
  haveRunsEnded(incarnation: string): boolean {
    if (this.byProcess(incarnation)) return false;
    // Processes are removed from the list once their runs have ended.
    if (!this.endedLinks.has(incarnation)) return true;
    return (this.goneMs(incarnation) ?? 0) >= RUN_END_BOUND_MS.afterProcessEnd;
  }

  private pruneEndedLinks(now: number): void {
    this.endedLinks.forEach(({ at }, incarnation) => {
      if (now - at <= RUN_END_BOUND_MS.afterConfirmation || this.mayBeAlive(incarnation)) return;
      this.endedLinks.delete(incarnation);
    });
  }
}
