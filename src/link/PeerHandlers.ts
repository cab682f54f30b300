import type {
  ClaimRequest,
  ClaimResponse,
  ForwardRequest,
  ForwardResponse,
  HandoverRequest,
  HandoverResponse,
  InspectRequest,
  InspectResponse,
} from '../gen/magnoliakeel/v1/peer_pb';
import type Link from './Link';

/** Handlers for the links and calls of other processes. */
export default interface PeerHandlers {
  /** Serves one link until it ends. */
  link(link: Link): Promise<void>;
  forward(req: ForwardRequest): Promise<ForwardResponse>;
  claim(req: ClaimRequest): Promise<ClaimResponse>;
  handover(req: HandoverRequest): Promise<HandoverResponse>;
  inspect(req: InspectRequest): Promise<InspectResponse>;
  /** Called with an error in accepting a connection or serving a link; other connections are not affected. */
  onError?(error: unknown): void;
}
