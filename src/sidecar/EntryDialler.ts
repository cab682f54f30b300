import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import ownerOf from '../core/ownerOf';
import type { Hello, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type Network from '../link/Network';
import LinkManager from '../peering/LinkManager';
import type SidecarCounters from './SidecarCounters';

const FIRST_REDIAL_DELAY_MS = 100;
/**
 * Well below the time after which entries treat a sidecar as lost, so that a
 * briefly broken link is restored before its tasks are given up.
 */
const MAX_REDIAL_DELAY_MS = 1000;

interface EntryDiallerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly counters: SidecarCounters;
  readonly view: Versioned<View>;
  /** Addresses of entries from the settings. */
  readonly seeds: readonly string[];
  /** Number of members to link to. */
  readonly links: number;
  /** Key for choosing members by rendezvous hashing. */
  readonly rankingKey: string;
  readonly hello: (session: bigint) => Hello;
  /** Serves a link until it ends; false when it was of no use, so that the next dial is delayed further. */
  readonly serve: (link: Link) => Promise<boolean>;
  /** Called with an error thrown while serving a link. */
  readonly onError: (address: string, error: unknown) => void;
}

/**
 * Maintains links to the chosen members of the view, and to configured addresses
 * that belong to no member, since the entries there may know a newer view.
 */
export default class EntryDialler {
  private readonly linkManager: LinkManager;

  private constructor(private readonly opts: EntryDiallerOptions) {
    const { timer, random, network, counters, hello, serve, onError } = opts;
    this.linkManager = LinkManager.create({
      timer,
      random,
      network,
      hello,
      serve,
      onError,
      delays: { firstMs: FIRST_REDIAL_DELAY_MS, limitMs: MAX_REDIAL_DELAY_MS },
      onDial: () => {
        counters.dials += 1;
      },
    });
  }

  /** Creates a dialler that dials nothing before the first `updateAddresses`. */
  static create(opts: EntryDiallerOptions): EntryDialler {
    return new EntryDialler(opts);
  }

  /** Dials the addresses chosen from the newest view and closes all other links. */
  updateAddresses(): void {
    this.linkManager.setAddresses([...this.chosenMembers(), ...this.seedsOutsideView()]);
  }

  /** Closes all links and resolves when they are no longer served. */
  stop(): Promise<void> {
    return this.linkManager.stop();
  }

  private chosenMembers(): string[] {
    const { members } = this.opts.view.current;
    const addresses = new Map(members.map((member) => [member.incarnation, member.address]));
    const chosen: string[] = [];
    while (addresses.size > 0 && chosen.length < this.opts.links) {
      const next = ownerOf(this.opts.rankingKey, [...addresses.keys()])!;
      chosen.push(addresses.get(next)!);
      addresses.delete(next);
    }
    return chosen;
  }

  private seedsOutsideView(): string[] {
    const { members } = this.opts.view.current;
    return this.opts.seeds.filter((seed) => members.every((member) => member.address !== seed));
  }
}
