import { create } from '@bufbuild/protobuf';
import type TimerService from '../../src/core/TimerService';
import SystemTimer from '../../src/core/SystemTimer';
import {
  ClaimResponseSchema,
  ForwardResponseSchema,
  HandoverResponseSchema,
  type Hello,
  HelloSchema,
  InspectResponseSchema,
  Role,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import type Link from '../../src/link/Link';
import type Listener from '../../src/link/Listener';
import type Network from '../../src/link/Network';
import type PeerHandlers from '../../src/link/PeerHandlers';
import PROTOCOL_VERSION from '../../src/link/PROTOCOL_VERSION';
import ManualTimer from './ManualTimer';
import MemoryNetwork from './MemoryNetwork';
import valueOf from './valueOf';

type NetworkFactory = () => { near: Network; far: Network; close: () => void };

/** Two processes: "far" listens, and "near" dials it. */
export default class NetworkCase {
  /** The links that far serves, in the order in which they were opened. */
  readonly servedLinks: Link[] = [];

  listener!: Listener;

  private constructor(
    readonly near: Network,
    private readonly far: Network,
    private readonly closeNetworks: () => void,
  ) {}

  /** The implementations of `Network` that must behave alike, by name. */
  static readonly implementations: Record<string, NetworkFactory> = {
    connect: () => NetworkCase.overTcp(SystemTimer.create()),
    memory: () => {
      const network = MemoryNetwork.create(ManualTimer.create());
      return {
        near: network.endpoint('near'),
        far: network.endpoint('far'),
        close: () => undefined,
      };
    },
  };

  /** Starts far's listener. The given handlers replace the default ones, which return empty or fixed answers. */
  static async start(
    make: NetworkFactory,
    handlers: Partial<PeerHandlers> = {},
  ): Promise<NetworkCase> {
    const { near, far, close } = make();
    const networkCase = new NetworkCase(near, far, close);
    const all = { ...networkCase.handlers(), ...handlers };
    const address = '127.0.0.1:0';
    networkCase.listener = valueOf(await far.listen(address, () => helloOf('far'), all));
    return networkCase;
  }

  /** The hello of an instance, with some fields changed. */
  static hello(instance: string, changes: Partial<Hello> = {}): Hello {
    return { ...helloOf(instance), ...changes };
  }

  /** Opens a link from near to far. */
  async dial(): Promise<Link> {
    const dialled = await this.near.dial(this.listener.address, helloOf('near'));
    return valueOf(dialled);
  }

  /** Closes near's network and far's listener. */
  async stop(): Promise<void> {
    this.closeNetworks();
    await this.listener.close();
  }

  private static overTcp(timer: TimerService): ReturnType<NetworkFactory> {
    const near = ConnectNetwork.create(timer);
    return { near, far: ConnectNetwork.create(timer), close: () => near.close() };
  }

  private handlers(): PeerHandlers {
    return {
      link: (link) => {
        this.servedLinks.push(link);
        return untilClosed(link);
      },
      forward: async () => create(ForwardResponseSchema),
      claim: async ({ job }) => create(ClaimResponseSchema, { held: job === 'held' }),
      handover: async () => create(HandoverResponseSchema),
      inspect: async () => create(InspectResponseSchema, { instance: 'far' }),
    };
  }
}

function helloOf(instance: string): Hello {
  return create(HelloSchema, {
    protocol: PROTOCOL_VERSION,
    cluster: 'test',
    role: Role.ENTRY,
    instance,
    incarnation: `${instance}-1`,
  });
}

function untilClosed({ closed }: Link): Promise<void> {
  return new Promise((resolve) => {
    if (closed.aborted) resolve();
    closed.addEventListener('abort', () => resolve(), { once: true });
  });
}
