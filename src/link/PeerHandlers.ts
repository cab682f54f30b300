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

/** What an entry does for the processes that call it. */
export default interface PeerHandlers {
  /** Serves one link from its opening to its end. */
  link(link: Link): Promise<void>;
  forward(req: ForwardRequest): Promise<ForwardResponse>;
  claim(req: ClaimRequest): Promise<ClaimResponse>;
  handover(req: HandoverRequest): Promise<HandoverResponse>;
  inspect(req: InspectRequest): Promise<InspectResponse>;
  /** Told of a connection that could not be accepted, or of an error in serving a link; all else goes on. */
  onError?(error: unknown): void;
}
