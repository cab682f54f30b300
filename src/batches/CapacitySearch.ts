import type SidecarPeer from './SidecarPeer';
import type BacklogHead from './BacklogHead';

/** The search of one service's line for room. */
interface Search {
  readonly since: number;
  /** Where in the order of sidecars it began. */
  readonly first: number;
}

/**
 * Which sidecars are told what waits for room. It answers the load at which a line forms and is gone
 * again many times a second, three quarters of the room and more: telling all sidecars of each would take most of
 * an entry's processor time. A few are asked at first, other ones each time, and more while the line
 * stands.
 */
export default class CapacitySearch {
  private readonly searches = new Map<string, Search>();

  private begun = 0;

  private constructor() {}

  /** Creates one that asks nobody. */
  static create(): CapacitySearch {
    return new CapacitySearch();
  }

  /** The sidecars to ask now, for what is first in line by service. Those asked before stay among them. */
  select(
    peers: readonly SidecarPeer[],
    heads: ReadonlyMap<string, BacklogHead>,
    now: number,
  ): ReadonlySet<SidecarPeer> {
    [...this.searches.keys()]
      .filter((service) => !heads.has(service))
      .forEach((service) => this.searches.delete(service));
    const asked = [...heads].flatMap(([service, { needs }]) => {
      const able = peers.filter(
        (peer) => peer.service === service && peer.isUsable && peer.capacity.covers(needs),
      );
      return this.pick(this.searchOf(service, now), able, now);
    });
    return new Set(asked);
  }

  private searchOf(service: string, now: number): Search {
    const known = this.searches.get(service);
    if (known) return known;
    const search = { since: now, first: this.begun * FIRST_ASKED };
    this.begun += 1;
    this.searches.set(service, search);
    return search;
  }

  private pick(
    { since, first }: Search,
    able: readonly SidecarPeer[],
    now: number,
  ): readonly SidecarPeer[] {
    const count = FIRST_ASKED * 2 ** Math.floor((now - since) / WIDEN_MS);
    const at = able.length > 0 ? first % able.length : 0;
    const turned = [...able.slice(at), ...able.slice(0, at)];
    const known = turned.filter(({ hasDemand: isAsked }) => isAsked);
    return [...known, ...turned.filter(({ hasDemand: isAsked }) => !isAsked)].slice(
      0,
      Math.max(count, known.length),
    );
  }
}

/** Sidecars asked at first: with a dozen tasks ending at each in a second, one has room within some 20 ms. */
const FIRST_ASKED = 4;

/** After this time without an end of the line twice as many are asked, ms. */
const WIDEN_MS = 40;
