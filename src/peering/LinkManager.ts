import { err, type Result } from 'neverthrow';
import Backoff from '../core/Backoff';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type { Hello } from '../gen/magnoliakeel/v1/peer_pb';
import type Link from '../link/Link';
import type Network from '../link/Network';

interface LinkManagerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Network;
  /** The first and the highest pause between two dials of an address, ms. */
  readonly delays: { readonly firstMs: number; readonly limitMs: number };
  readonly hello: (session: bigint) => Hello;
  /** Serves a link to its end, and says whether it was of use. */
  readonly serve: (link: Link) => Promise<boolean>;
  /** Told of each dial and why it failed, if it did. */
  readonly onDial?: (address: string, failure: string | undefined) => void;
  /** Told of an error in serving a link, which is closed; its address is dialled again. */
  readonly onError: (address: string, error: unknown) => void;
}

/** The one task that keeps a link to an address. */
interface Upkeep {
  readonly stop: AbortController;
  /** Cut short when there is news of the address. */
  nap: AbortController;
  ended: Promise<void>;
}

/** Keeps a link open to each of a set of addresses, which may change at any time. */
export default class LinkManager {
  private readonly upkeeps = new Map<string, Upkeep>();

  private readonly sessions = new Map<string, bigint>();

  private constructor(private readonly opts: LinkManagerOptions) {}

  /** Creates a keeper that dials nothing before the first `aim`. */
  static create(opts: LinkManagerOptions): LinkManager {
    return new LinkManager(opts);
  }

  /** Dials these addresses, at once where there is no link, and drops all others. */
  setAddresses(addresses: Iterable<string>): void {
    const wanted = new Set(addresses);
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
    const { random, timer, delays } = this.opts;
    const backoff = Backoff.of(delays.firstMs, delays.limitMs, random);
    await before;
    while (!upkeep.stop.signal.aborted) {
      if (await this.dial(address, upkeep.stop.signal)) backoff.reset();
      if (upkeep.stop.signal.aborted) return;

      upkeep.nap = new AbortController();
      await timer.sleep(backoff.next(), upkeep.nap.signal);
    }
  }

  /** One link from its dial to its end; says whether it was of use. */
  private async dial(address: string, stop: AbortSignal): Promise<boolean> {
    const session = (this.sessions.get(address) ?? 0n) + 1n;
    this.sessions.set(address, session);
    const res = await this.open(address, session);
    this.opts.onDial?.(address, res.isErr() ? res.error : undefined);
    if (res.isErr()) return false;
    const link = res.value;
    const close = (): void => link.close();
    stop.addEventListener('abort', close, { once: true });
    if (stop.aborted) close();
    const isUseful = await this.serve(address, link);
    stop.removeEventListener('abort', close);
    return isUseful;
  }

  /** The error says why there is no link, also where a peer told an address that is none. */
  private async open(address: string, session: bigint): Promise<Result<Link, string>> {
    const { network, hello } = this.opts;
    try {
      return (await network.dial(address, hello(session))).mapErr(({ reason }) => reason);
    } catch (error) {
      return err(String(error));
    }
  }

  /** Whatever fails in one link, the others go on. */
  private async serve(address: string, link: Link): Promise<boolean> {
    try {
      return await this.opts.serve(link);
    } catch (error) {
      this.opts.onError(address, error);
      link.close();
      return false;
    }
  }
}

function halt(upkeep: Upkeep): void {
  upkeep.stop.abort();
  upkeep.nap.abort();
}
