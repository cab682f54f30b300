import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import ownerOf from '../core/ownerOf';
import type { Hello, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type Network from '../link/Network';
import LinkManager from '../peering/LinkManager';
import type SidecarCounters from './SidecarCounters';

const FIRST_DELAY_MS = 100;
/** Well below the witness time, so that a link that was cut shortly is back before its tasks are given up. */
const LIMIT_DELAY_MS = 1000;

interface DiallerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  readonly counters: SidecarCounters;
  readonly view: Versioned<View>;
  /** Addresses of entries from the settings. */
  readonly seeds: readonly string[];
  /** Members to be linked to. */
  readonly links: number;
  /** Key by which this sidecar chooses its members. */
  readonly key: string;
  readonly hello: (session: bigint) => Hello;
  /** Serves a link to its end, and says whether it was of use. */
  readonly serve: (link: Link) => Promise<boolean>;
  /** Told of an error in serving a link. */
  readonly failed: (address: string, error: unknown) => void;
}

/**
 * Keeps links to the chosen members of the view, and to addresses from the
 * settings that no member has, since those may lead to a newer view.
 */
export default class Dialler {
  private readonly keeper: LinkManager;

  private constructor(private readonly opts: DiallerOptions) {
    const { timer, random, network, counters, hello, serve, failed } = opts;
    this.keeper = LinkManager.create({
      timer,
      random,
      network,
      hello,
      serve,
      onError: failed,
      delays: { firstMs: FIRST_DELAY_MS, limitMs: LIMIT_DELAY_MS },
      onDial: () => {
        counters.dials += 1;
      },
    });
  }

  /** Creates a dialler that does nothing before the first `retarget`. */
  static create(opts: DiallerOptions): Dialler {
    return new Dialler(opts);
  }

  /** Dials what the newest view asks for and drops the rest. */
  retarget(): void {
    this.keeper.setAddresses([...this.members(), ...this.strangers()]);
  }

  /** Ends all links and resolves when their tasks have ended. */
  stop(): Promise<void> {
    return this.keeper.stop();
  }

  private members(): string[] {
    const { members } = this.opts.view.current;
    const addresses = new Map(members.map((member) => [member.incarnation, member.address]));
    const chosen: string[] = [];
    while (addresses.size > 0 && chosen.length < this.opts.links) {
      const next = ownerOf(this.opts.key, [...addresses.keys()])!;
      chosen.push(addresses.get(next)!);
      addresses.delete(next);
    }
    return chosen;
  }

  private strangers(): string[] {
    const { members } = this.opts.view.current;
    return this.opts.seeds.filter((seed) => members.every((member) => member.address !== seed));
  }
}
