import type { ResultAsync } from 'neverthrow';
import type {
  ClaimRequest,
  ClaimResponse,
  ForwardRequest,
  ForwardResponse,
  HandoverRequest,
  HandoverResponse,
  Hello,
  InspectRequest,
  InspectResponse,
} from '../gen/magnoliakeel/v1/peer_pb';
import type CallError from './CallError';
import type Link from './Link';
import type Listener from './Listener';
import type PeerHandlers from './PeerHandlers';

/**
 * Communication between the processes of the system. In production this is
 * `ConnectNetwork`; tests use an in-memory implementation.
 */
export default interface Network {
  /** Opens a link to the entry at the address and exchanges hellos. */
  dial(address: string, hello: Hello): ResultAsync<Link, CallError>;

  /** Forwards a submission to another entry. The signal stops waiting for the answer. */
  forward(
    address: string,
    req: ForwardRequest,
    signal: AbortSignal,
  ): ResultAsync<ForwardResponse, CallError>;

  /** Asks another entry whether it holds a job. */
  claim(address: string, req: ClaimRequest): ResultAsync<ClaimResponse, CallError>;

  /** Transfers job records to another entry. */
  handover(address: string, req: HandoverRequest): ResultAsync<HandoverResponse, CallError>;

  /** Asks another entry for its state. */
  inspect(address: string, req: InspectRequest): ResultAsync<InspectResponse, CallError>;

  /** Serves other processes at the address; `hello` creates the reply to each link's first message. */
  listen(
    address: string,
    hello: () => Hello,
    handlers: PeerHandlers,
  ): ResultAsync<Listener, CallError>;
}
