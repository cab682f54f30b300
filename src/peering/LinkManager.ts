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
  /** First and longest delay between two dials of an address, ms. */
  readonly delays: { readonly firstMs: number; readonly limitMs: number };
  readonly hello: (session: bigint) => Hello;
  /** Serves a link until it ends. Resolves to whether the link was useful, which resets the back-off. */
  readonly serve: (link: Link) => Promise<boolean>;
  /** Called after each dial, with the reason if it failed. */
  readonly onDial?: (address: string, failure: string | undefined) => void;
  /** Called with an error thrown while serving a link. The link is closed and its address dialled again. */
  readonly onError: (address: string, error: unknown) => void;
}

/** The task that maintains the link to one address. */
interface AddressTask {
  readonly stop: AbortController;
  /** Aborts the delay before the next dial, when the address is requested again. */
  backoffWait: AbortController;
  ended: Promise<void>;
}

/** Maintains one link to each of a set of addresses, which may change at any time. */
export default class LinkManager {
  private readonly tasks = new Map<string, AddressTask>();

  private readonly sessionNumbers = new Map<string, bigint>();

  private constructor(private readonly opts: LinkManagerOptions) {}

  /** Creates a manager that dials nothing before the first `setAddresses`. */
  static create(opts: LinkManagerOptions): LinkManager {
    return new LinkManager(opts);
  }

  /** Replaces the set of addresses: dials those without a link at once, and closes the links to all others. */
  setAddresses(addresses: Iterable<string>): void {
    const wanted = new Set(addresses);
    this.tasks.forEach((task, address) => {
      if (!wanted.has(address)) stopTask(task);
    });
    wanted.forEach((address) => this.ensureTask(address));
  }

  /** Closes all links and resolves when their tasks have ended. */
  async stop(): Promise<void> {
    this.tasks.forEach(stopTask);
    await Promise.all([...this.tasks.values()].map((task) => task.ended));
  }

  private ensureTask(address: string): void {
    const previous = this.tasks.get(address);
    if (previous && !previous.stop.signal.aborted) {
      previous.backoffWait.abort();
      return;
    }
    const task: AddressTask = {
      stop: new AbortController(),
      backoffWait: new AbortController(),
      ended: Promise.resolve(),
    };
    this.tasks.set(address, task);
    task.ended = this.maintainLink(address, task, previous?.ended);
  }

  private async maintainLink(
    address: string,
    task: AddressTask,
    previous?: Promise<void>,
  ): Promise<void> {
    const { random, timer, delays } = this.opts;
    const backoff = Backoff.of(delays.firstMs, delays.limitMs, random);
    await previous;
    while (!task.stop.signal.aborted) {
      if (await this.runLink(address, task.stop.signal)) backoff.reset();
      if (task.stop.signal.aborted) return;

      task.backoffWait = new AbortController();
      await timer.sleep(backoff.next(), task.backoffWait.signal);
    }
  }

  /** Dials an address and serves the link until it ends. Returns whether the link was useful. */
  private async runLink(address: string, stop: AbortSignal): Promise<boolean> {
    const session = (this.sessionNumbers.get(address) ?? 0n) + 1n;
    this.sessionNumbers.set(address, session);
    const res = await this.dial(address, session);
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

  /** Dials an address. An address received from a peer may be invalid, so thrown errors are returned as well. */
  private async dial(address: string, session: bigint): Promise<Result<Link, string>> {
    const { network, hello } = this.opts;
    try {
      return (await network.dial(address, hello(session))).mapErr(({ reason }) => reason);
    } catch (error) {
      return err(String(error));
    }
  }

  /** Serves a link. An error is reported and closes this link only. */
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

function stopTask(task: AddressTask): void {
  task.stop.abort();
  task.backoffWait.abort();
}
