import Backoff from '../core/Backoff';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import ownerOf from '../core/ownerOf';
import type { Hello, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type Network from '../link/Network';
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
}

/** The one task that keeps a link to an address. */
interface Upkeep {
  readonly stop: AbortController;
  /** Cut short when there is news of the address. */
  nap: AbortController;
  ended: Promise<void>;
}

/**
 * Keeps links to the chosen members of the view, and to addresses from the
 * settings that no member has, since those may lead to a newer view.
 */
export default class Dialler {
  private readonly upkeeps = new Map<string, Upkeep>();

  private readonly sessions = new Map<string, bigint>();

  private constructor(private readonly opts: DiallerOptions) {}

  /** Creates a dialler that does nothing before the first `retarget`. */
  static create(opts: DiallerOptions): Dialler {
    return new Dialler(opts);
  }

  /** Dials what the newest view asks for and drops the rest. */
  retarget(): void {
    const wanted = new Set([...this.members(), ...this.strangers()]);
    this.upkeeps.forEach((upkeep, address) => {
      if (!wanted.has(address)) halt(upkeep);
    });
    wanted.forEach((address) => this.ensure(address));
  }

  /** Ends all links and resolves when their tasks have ended. */
  async stop(): Promise<void> {
    this.upkeeps.forEach(halt);
    await Promise.all([...this.upkeeps.values()].map((upkeep) => upkeep.ended));
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

  private ensure(address: string): void {
    const old = this.upkeeps.get(address);
    if (old && !old.stop.signal.aborted) {
      old.nap.abort();
      return;
    }
    const upkeep: Upkeep = {
      stop: new AbortController(),
      nap: new AbortController(),
      ended: Promise.resolve(),
    };
    this.upkeeps.set(address, upkeep);
    upkeep.ended = this.keepLinked(address, upkeep, old?.ended);
  }

  private async keepLinked(address: string, upkeep: Upkeep, before?: Promise<void>): Promise<void> {
    const { random, timer } = this.opts;
    const backoff = Backoff.of(FIRST_DELAY_MS, LIMIT_DELAY_MS, random);
    await before;
    while (!upkeep.stop.signal.aborted) {
      if (await this.dial(address, upkeep.stop.signal)) backoff.reset();
      if (upkeep.stop.signal.aborted) return;

      upkeep.nap = new AbortController();
      await timer.sleep(backoff.next(), upkeep.nap.signal);
    }
  }

  private async dial(address: string, stop: AbortSignal): Promise<boolean> {
    const session = (this.sessions.get(address) ?? 0n) + 1n;
    this.sessions.set(address, session);
    this.opts.counters.dials += 1;
    const res = await this.opts.network.dial(address, this.opts.hello(session));
    if (res.isErr()) return false;
    const link = res.value;
    const close = (): void => link.close();
    stop.addEventListener('abort', close, { once: true });
    if (stop.aborted) close();
    const isUseful = await this.opts.serve(link);
    stop.removeEventListener('abort', close);
    return isUseful;
  }
}

function halt(upkeep: Upkeep): void {
  upkeep.stop.abort();
  upkeep.nap.abort();
}
