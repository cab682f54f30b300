import type SidecarPeer from './SidecarPeer';
import type BacklogHead from './BacklogHead';

/** The search for capacity of one service's backlog. */
interface Search {
  readonly since: number;
  /** Index of the first sidecar in the rotation. */
  readonly offset: number;
}

/**
 * Selects the sidecars that are notified of the backlog. From about three quarters of the capacity
 * on, a backlog forms and clears many times a second; notifying all sidecars each time would take
 * most of an entry's processor time. So a few are notified at first, different ones each time, and
 * more the longer the backlog lasts.
 */
export default class CapacitySearch {
  private readonly searches = new Map<string, Search>();

  private searchCount = 0;

  private constructor() {}

  /** Creates a search that has notified no sidecar. */
  static create(): CapacitySearch {
    return new CapacitySearch();
  }

  /**
   * The sidecars to notify now of the head of each service's backlog. Those that already know of it
   * stay selected.
   */
  select(
    peers: readonly SidecarPeer[],
    heads: ReadonlyMap<string, BacklogHead>,
    now: number,
  ): ReadonlySet<SidecarPeer> {
    [...this.searches.keys()]
      .filter((service) => !heads.has(service))
      .forEach((service) => this.searches.delete(service));
    const selected = [...heads].flatMap(([service, { needs }]) => {
      const eligible = peers.filter(
        (peer) => peer.service === service && peer.isUsable && peer.capacity.covers(needs),
      );
      return this.pick(this.searchOf(service, now), eligible, now);
    });
    return new Set(selected);
  }

  private searchOf(service: string, now: number): Search {
    const current = this.searches.get(service);
    if (current) return current;
    const search = { since: now, offset: this.searchCount * INITIAL_COUNT };
    this.searchCount += 1;
    this.searches.set(service, search);
    return search;
  }

  private pick(
    { since, offset }: Search,
    eligible: readonly SidecarPeer[],
    now: number,
  ): readonly SidecarPeer[] {
    const count = INITIAL_COUNT * 2 ** Math.floor((now - since) / DOUBLING_MS);
    const at = eligible.length > 0 ? offset % eligible.length : 0;
    const rotated = [...eligible.slice(at), ...eligible.slice(0, at)];
    const current = rotated.filter(({ hasDemand }) => hasDemand);
    return [...current, ...rotated.filter(({ hasDemand }) => !hasDemand)].slice(
      0,
      Math.max(count, current.length),
    );
  }
}

/**
 * Sidecars notified at first: with a dozen tasks ending at each per second, one has free capacity
 * within some 20 ms.
 */
const INITIAL_COUNT = 4;

/**
 * The number of notified sidecars doubles after each such period in which the backlog has not
 * cleared, ms.
 */
const DOUBLING_MS = 40;
