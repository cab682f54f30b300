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
  /** Whether it broke off; an entry that has left in good order has nothing open. */
  readonly isBroken: boolean;
}

/** The other entries: those that are linked, and those that were lately. */
export default class ClaimPeers {
  private readonly linked = new Map<Link, ClaimPeer>();

  /** By incarnation: the last link to each process that is linked no more. */
  private readonly endedLinks = new Map<string, EndedLink>();

  private constructor(
    private readonly timer: TimerService,
    private readonly seen: () => readonly SeenEntry[] | undefined,
  ) {}

  /** Creates one without any; `seen` returns the processes that sidecars know to be awake, if one has told. */
  static create(timer: TimerService, seen: () => readonly SeenEntry[] | undefined): ClaimPeers {
    return new ClaimPeers(timer, seen);
  }

  /** A link to an entry has opened. */
  add(link: Link): ClaimPeer {
    const peer = ClaimPeer.of(link, this.timer);
    this.linked.set(link, peer);
    this.endedLinks.delete(link.peer.incarnation);
    return peer;
  }

  /** A link to an entry has ended. */
  remove(link: Link): void {
    this.linked.get(link)?.close();
    this.linked.delete(link);
    const { instance, incarnation } = link.peer;
    const at = this.timer.now();
    const isBroken = link.failure !== undefined;
    if (!this.findByIncarnation(incarnation))
      this.endedLinks.set(incarnation, { instance, at, isBroken });
    this.forget(at);
  }

  /** The entry at the other end of a link. */
  byLink(link: Link): ClaimPeer | undefined {
    return this.linked.get(link);
  }

  /** A process that is linked, by its newest link: an older one may be dead. */
  findByIncarnation(incarnation: string): ClaimPeer | undefined {
    const peers = [...this.linked.values()];
    return peers.findLast(({ hello }) => hello.incarnation === incarnation);
  }

  /**
   * The entries that count as registrars, by name. One that is out of reach counts, without a peer, while its link may
   * be back in a moment, and for as long as sidecars know it to be awake: it may be this process that is cut off. That is
   * assumed while no sidecar has told.
   */
  get registrarCandidates(): ReadonlyMap<string, ClaimPeer | undefined> {
    const members = new Map<string, ClaimPeer | undefined>();
    const seen = this.seen();
    const since = seen ? this.timer.now() - claimLimits.relinkMs : -Infinity;
    this.endedLinks.forEach(({ instance, at, isBroken }) => {
      if (isBroken && at > since) members.set(instance, undefined);
    });
    seen?.forEach(({ instance }) => members.set(instance, undefined));
    this.linked.forEach((peer) => {
      const { instance } = peer.hello;
      if (!seen || !peer.isUnreachable || members.has(instance)) members.set(instance, peer);
    });
    return members;
  }

  /** Whether a process may be awake, as far as sidecars tell. */
  mayBeAlive(incarnation: string): boolean {
    return this.seen()?.some((entry) => entry.incarnation === incarnation) ?? true;
  }

  /** How long ago the last link to a process ended, ms; undefined while it is linked, or not known to be gone. */
  goneMs(incarnation: string): number | undefined {
    const endedAt = this.endedLinks.get(incarnation)?.at;
    if (endedAt === undefined || this.mayBeAlive(incarnation)) return undefined;
    return this.timer.now() - endedAt;
  }

  /** Whether the runs of a process that was linked once are over. */
  haveRunsEnded(incarnation: string): boolean {
    if (this.findByIncarnation(incarnation)) return false;
    // Processes are forgotten once their runs are over.
    if (!this.endedLinks.has(incarnation)) return true;
    return (this.goneMs(incarnation) ?? 0) >= RUN_END_BOUND_MS.afterProcessEnd;
  }

  private forget(now: number): void {
    this.endedLinks.forEach(({ at }, incarnation) => {
      if (now - at <= RUN_END_BOUND_MS.afterConfirmation || this.mayBeAlive(incarnation)) return;
      this.endedLinks.delete(incarnation);
    });
  }
}
