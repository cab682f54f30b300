import type { ResultAsync } from 'neverthrow';
import type {
  ClaimRequest,
  ForwardRequest,
  HandoverRequest,
  Hello,
  InspectRequest,
} from '../gen/magnoliakeel/v1/peer_pb';
import type CallError from '../link/CallError';
import type Link from '../link/Link';
import type Network from '../link/Network';
import type PeerHandlers from '../link/PeerHandlers';
import MeteredLink from './MeteredLink';
import type Metrics from './Metrics';

/** A network whose messages and calls are counted. */
export default class MeteredNetwork implements Network {
  private constructor(
    private readonly network: Network,
    private readonly metrics: Metrics,
  ) {}

  /** Wraps a network so that its messages and calls are counted. */
  static over(network: Network, metrics: Metrics): Network {
    return new MeteredNetwork(network, metrics);
  }

  dial(address: string, hello: Hello): ResultAsync<Link, CallError> {
    return this.network.dial(address, hello).map((link) => MeteredLink.over(link, this.metrics));
  }

  forward(address: string, req: ForwardRequest, signal: AbortSignal) {
    this.countSent('forward');
    return this.network.forward(address, req, signal);
  }

  claim(address: string, req: ClaimRequest) {
    this.countSent('claim');
    return this.network.claim(address, req);
  }

  handover(address: string, req: HandoverRequest) {
    this.countSent('handover');
    return this.network.handover(address, req);
  }

  inspect(address: string, req: InspectRequest) {
    this.countSent('inspect');
    return this.network.inspect(address, req);
  }

  listen(address: string, hello: () => Hello, handlers: PeerHandlers) {
    return this.network.listen(address, hello, {
      link: (link) => handlers.link(MeteredLink.over(link, this.metrics)),
      forward: (req) => this.countReceived('forward', handlers.forward(req)),
      claim: (req) => this.countReceived('claim', handlers.claim(req)),
      handover: (req) => this.countReceived('handover', handlers.handover(req)),
      inspect: (req) => this.countReceived('inspect', handlers.inspect(req)),
    });
  }

  private countSent(call: string): void {
    this.metrics.add('messages_sent_total', 1, 'entry', `call.${call}`);
  }

  private countReceived<T>(call: string, answer: T): T {
    this.metrics.add('messages_received_total', 1, 'entry', `call.${call}`);
    return answer;
  }
}
