import { type DescMessage, fromBinary, type MessageShape, toBinary } from '@bufbuild/protobuf';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import {
  type ClaimRequest,
  ClaimRequestSchema,
  type ClaimResponse,
  ClaimResponseSchema,
  type ForwardRequest,
  ForwardRequestSchema,
  type ForwardResponse,
  ForwardResponseSchema,
  type HandoverRequest,
  HandoverRequestSchema,
  type HandoverResponse,
  HandoverResponseSchema,
  type Hello,
  type InspectRequest,
  InspectRequestSchema,
  type InspectResponse,
  InspectResponseSchema,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type CallError from '../../src/link/CallError';
import type Link from '../../src/link/Link';
import type Listener from '../../src/link/Listener';
import type Network from '../../src/link/Network';
import helloMismatch from '../../src/link/helloMismatch';
import type PeerHandlers from '../../src/link/PeerHandlers';
import type NetworkFaults from './NetworkFaults';
import MemoryLink from './MemoryLink';
import MemoryProcess from './MemoryProcess';
import Pipe from './Pipe';

const FIRST_PORT = 20_000;
const HELLO_TIMEOUT_MS = 5000;
const SILENCE_MS = 15_000;

/** A process that listens, as the others find it by its address. */
interface Listening {
  readonly process: MemoryProcess;
  readonly hello: () => Hello;
  readonly handlers: PeerHandlers;
  readonly links: Set<Link>;
}

/** What one process sees of the memory network. */
export default class MemoryEndpoint implements Network {
  private constructor(
    readonly process: MemoryProcess,
    private readonly faults: NetworkFaults,
    private readonly addresses: Map<string, Listening>,
  ) {}

  /** Connects a process to the network whose listeners are in the map. */
  static of(
    process: MemoryProcess,
    faults: NetworkFaults,
    addresses: Map<string, Listening>,
  ): MemoryEndpoint {
    return new MemoryEndpoint(process, faults, addresses);
  }

  dial(address: string, hello: Hello): ResultAsync<Link, CallError> {
    return new ResultAsync(this.openLink(address, hello));
  }

  forward(
    address: string,
    req: ForwardRequest,
    signal: AbortSignal,
  ): ResultAsync<ForwardResponse, CallError> {
    const call = (handlers: PeerHandlers, got: ForwardRequest) => handlers.forward(got);
    const forward = { kind: 'forward', input: ForwardRequestSchema, call };
    return this.call({ ...forward, output: ForwardResponseSchema }, address, req, signal);
  }

  claim(address: string, req: ClaimRequest): ResultAsync<ClaimResponse, CallError> {
    const call = (handlers: PeerHandlers, got: ClaimRequest) => handlers.claim(got);
    const claim = { kind: 'claim', input: ClaimRequestSchema, call };
    return this.call({ ...claim, output: ClaimResponseSchema }, address, req);
  }

  handover(address: string, req: HandoverRequest): ResultAsync<HandoverResponse, CallError> {
    const call = (handlers: PeerHandlers, got: HandoverRequest) => handlers.handover(got);
    const handover = { kind: 'handover', input: HandoverRequestSchema, call };
    return this.call({ ...handover, output: HandoverResponseSchema }, address, req);
  }

  inspect(address: string, req: InspectRequest): ResultAsync<InspectResponse, CallError> {
    const call = (handlers: PeerHandlers, got: InspectRequest) => handlers.inspect(got);
    const inspect = { kind: 'inspect', input: InspectRequestSchema, call };
    return this.call({ ...inspect, output: InspectResponseSchema }, address, req);
  }

  listen(
    address: string,
    hello: () => Hello,
    handlers: PeerHandlers,
  ): ResultAsync<Listener, CallError> {
    return new ResultAsync(Promise.resolve(this.openListener(address, hello, handlers)));
  }

  private openListener(
    wanted: string,
    hello: () => Hello,
    handlers: PeerHandlers,
  ): Result<Listener, CallError> {
    const address = wanted.replace(/:0$/, `:${FIRST_PORT + this.addresses.size}`);
    if (this.addresses.get(address)?.process.isAlive) return err(unreachable('address in use'));
    const links = new Set<Link>();
    this.addresses.set(address, { process: this.process, hello, handlers, links });
    const close = async () => {
      this.addresses.delete(address);
      links.forEach((link) => link.close());
    };
    return ok({ address, close });
  }

  private async openLink(address: string, hello: Hello): Promise<Result<Link, CallError>> {
    const target = this.reach(address);
    if (!target) return refused();
    let opened: Link | undefined;
    let failed = false;
    const result = await this.exchange<Link>(target, 'dial', undefined, (answer) => {
      const objection = helloMismatch(hello, target.hello());
      if (objection !== undefined) {
        answer(() => err({ kind: 'broken', reason: objection }));
        return;
      }
      const [near, far] = MemoryLink.pair(
        { process: this.process, hello },
        { process: target.process, hello: target.hello() },
        this.faults,
      );
      opened = near;
      MemoryEndpoint.serve(target, far);
      answer(() => ok(near));
      if (failed) near.close();
    });
    failed = result.isErr();
    if (failed) opened?.close();
    return result;
  }

  private static serve(target: Listening, link: Link): void {
    target.links.add(link);
    link.closed.addEventListener('abort', () => target.links.delete(link), { once: true });
    const close = () => link.close();
    target.handlers.link(link).then(close, close);
  }

  private call<I extends DescMessage, O extends DescMessage>(
    method: {
      readonly kind: string;
      readonly input: I;
      readonly output: O;
      call(handlers: PeerHandlers, req: MessageShape<I>): Promise<MessageShape<O>>;
    },
    address: string,
    req: MessageShape<I>,
    signal?: AbortSignal,
  ): ResultAsync<MessageShape<O>, CallError> {
    const target = this.reach(address);
    if (!target) return new ResultAsync(refused());
    if (signal?.aborted) {
      return new ResultAsync(Promise.resolve(err(unreachable('the caller has given up'))));
    }
    const sent = toBinary(method.input, req);
    const result = this.exchange<MessageShape<O>>(target, method.kind, signal, (answer) => {
      method.call(target.handlers, fromBinary(method.input, sent)).then(
        (res) => {
          const bytes = toBinary(method.output, res);
          answer(() => ok(fromBinary(method.output, bytes)));
        },
        () => answer(() => err({ kind: 'broken', reason: 'internal error' })),
      );
    });
    return new ResultAsync(result);
  }

  /** Sends a request and waits for its answer, the loss of the connection, or the signal. */
  private exchange<T>(
    target: Listening,
    kind: string,
    signal: AbortSignal | undefined,
    serve: (answer: (make: () => Result<T, CallError>) => void) => void,
  ): Promise<Result<T, CallError>> {
    return new Promise((resolve) => {
      const done = new AbortController();
      const lost = () => finish(err(broken('the connection was lost')));
      const back = Pipe.open(target.process, this.process, this.faults, lost);
      const out = Pipe.open(this.process, target.process, this.faults);
      function finish(result: Result<T, CallError>): void {
        done.abort();
        back.discard();
        out.end();
        resolve(result);
      }
      signal?.addEventListener('abort', () => finish(err(broken('the caller gave up'))), {
        once: true,
        signal: done.signal,
      });
      this.watchSilence(target, kind, done.signal, finish);
      out.send(kind, () => serve((make) => back.send(`${kind}.answer`, () => finish(make()))));
    });
  }

  /** A process notices in time that the other end of its session says nothing at all. */
  private async watchSilence<T>(
    target: Listening,
    kind: string,
    done: AbortSignal,
    finish: (result: Result<T, CallError>) => void,
  ): Promise<void> {
    const limitMs = kind === 'dial' ? HELLO_TIMEOUT_MS : SILENCE_MS;
    while (!done.aborted) {
      await this.faults.timer.sleep(limitMs, done);
      if (done.aborted || !this.process.isAlive) return;
      if (kind === 'dial' || this.isSilent(target)) finish(err(broken('the peer is silent')));
    }
  }

  private isSilent({ process }: Listening): boolean {
    const { instance } = this.process;
    const lost =
      this.faults.isBlackholed(instance, process.instance) ||
      this.faults.isBlackholed(process.instance, instance);
    return lost || process.isPaused || !process.isAlive;
  }

  private reach(address: string): Listening | undefined {
    const target = this.addresses.get(address);
    if (!target?.process.isAlive) return undefined;
    return this.faults.isPartitioned(this.process.instance, target.process.instance)
      ? undefined
      : target;
  }
}

function refused(): Promise<Result<never, CallError>> {
  return Promise.resolve(err(unreachable('connection refused')));
}

function unreachable(reason: string): CallError {
  return { kind: 'unreachable', reason };
}

function broken(reason: string): CallError {
  return { kind: 'broken', reason };
}
