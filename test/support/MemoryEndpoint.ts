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

/** A listening process, registered under its address. */
interface ListeningProcess {
  readonly process: MemoryProcess;
  readonly hello: () => Hello;
  readonly handlers: PeerHandlers;
  readonly links: Set<Link>;
}

/** The endpoint of one process on the in-memory network. */
export default class MemoryEndpoint implements Network {
  private constructor(
    readonly process: MemoryProcess,
    private readonly faults: NetworkFaults,
    private readonly addresses: Map<string, ListeningProcess>,
  ) {}

  /** Creates the endpoint of a process; the map holds the listeners of the network by address. */
  static of(
    process: MemoryProcess,
    faults: NetworkFaults,
    addresses: Map<string, ListeningProcess>,
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
    const call = (handlers: PeerHandlers, received: ForwardRequest) => handlers.forward(received);
    const forward = { kind: 'forward', input: ForwardRequestSchema, call };
    return this.call({ ...forward, output: ForwardResponseSchema }, address, req, signal);
  }

  claim(address: string, req: ClaimRequest): ResultAsync<ClaimResponse, CallError> {
    const call = (handlers: PeerHandlers, received: ClaimRequest) => handlers.claim(received);
    const claim = { kind: 'claim', input: ClaimRequestSchema, call };
    return this.call({ ...claim, output: ClaimResponseSchema }, address, req);
  }

  handover(address: string, req: HandoverRequest): ResultAsync<HandoverResponse, CallError> {
    const call = (handlers: PeerHandlers, received: HandoverRequest) => handlers.handover(received);
    const handover = { kind: 'handover', input: HandoverRequestSchema, call };
    return this.call({ ...handover, output: HandoverResponseSchema }, address, req);
  }

  inspect(address: string, req: InspectRequest): ResultAsync<InspectResponse, CallError> {
    const call = (handlers: PeerHandlers, received: InspectRequest) => handlers.inspect(received);
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
    if (this.addresses.get(address)?.process.isAlive)
      return err(unreachableError('address in use'));
    const links = new Set<Link>();
    this.addresses.set(address, { process: this.process, hello, handlers, links });
    const close = async () => {
      this.addresses.delete(address);
      links.forEach((link) => link.close());
    };
    return ok({ address, close });
  }

  private async openLink(address: string, hello: Hello): Promise<Result<Link, CallError>> {
    const target = this.reachableTarget(address);
    if (!target) return refused();
    let opened: Link | undefined;
    let failed = false;
    const result = await this.roundTrip<Link>(target, 'dial', undefined, (answer) => {
      const mismatch = helloMismatch(hello, target.hello());
      if (mismatch !== undefined) {
        answer(() => err({ kind: 'broken', reason: mismatch }));
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

  private static serve(target: ListeningProcess, link: Link): void {
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
    const target = this.reachableTarget(address);
    if (!target) return new ResultAsync(refused());
    if (signal?.aborted) {
      return new ResultAsync(Promise.resolve(err(unreachableError('the caller has given up'))));
    }
    const sent = toBinary(method.input, req);
    const result = this.roundTrip<MessageShape<O>>(target, method.kind, signal, (answer) => {
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

  /** Sends a request; resolves to its answer, or to an error when the connection is lost or the signal aborts. */
  private roundTrip<T>(
    target: ListeningProcess,
    kind: string,
    signal: AbortSignal | undefined,
    serve: (answer: (makeResult: () => Result<T, CallError>) => void) => void,
  ): Promise<Result<T, CallError>> {
    return new Promise((resolve) => {
      const done = new AbortController();
      const onLost = () => finish(err(brokenError('the connection was lost')));
      const back = Pipe.open(target.process, this.process, this.faults, onLost);
      const out = Pipe.open(this.process, target.process, this.faults);
      function finish(result: Result<T, CallError>): void {
        done.abort();
        back.discard();
        out.end();
        resolve(result);
      }
      signal?.addEventListener('abort', () => finish(err(brokenError('the caller gave up'))), {
        once: true,
        signal: done.signal,
      });
      this.failOnSilence(target, kind, done.signal, finish);
      out.send(kind, () =>
        serve((makeResult) => back.send(`${kind}.answer`, () => finish(makeResult()))),
      );
    });
  }

  /** Fails a pending call when the peer of the connection has been unresponsive for the time-out. */
  private async failOnSilence<T>(
    target: ListeningProcess,
    kind: string,
    done: AbortSignal,
    finish: (result: Result<T, CallError>) => void,
  ): Promise<void> {
    const limitMs = kind === 'dial' ? HELLO_TIMEOUT_MS : SILENCE_MS;
    while (!done.aborted) {
      await this.faults.timer.sleep(limitMs, done);
      if (done.aborted || !this.process.isAlive) return;
      if (kind === 'dial' || this.isUnresponsive(target))
        finish(err(brokenError('the peer is silent')));
    }
  }

  private isUnresponsive({ process }: ListeningProcess): boolean {
    const { instance } = this.process;
    const isBlackholed =
      this.faults.isBlackholed(instance, process.instance) ||
      this.faults.isBlackholed(process.instance, instance);
    return isBlackholed || process.isPaused || !process.isAlive;
  }

  private reachableTarget(address: string): ListeningProcess | undefined {
    const target = this.addresses.get(address);
    if (!target?.process.isAlive) return undefined;
    return this.faults.isPartitioned(this.process.instance, target.process.instance)
      ? undefined
      : target;
  }
}

function refused(): Promise<Result<never, CallError>> {
  return Promise.resolve(err(unreachableError('connection refused')));
}

function unreachableError(reason: string): CallError {
  return { kind: 'unreachable', reason };
}

function brokenError(reason: string): CallError {
  return { kind: 'broken', reason };
}
