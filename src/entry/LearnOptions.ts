import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { Configuration, Hello, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';

/** What asking other entries needs, and feeds. */
export default interface LearnOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly network: Pick<Network, 'dial'>;
  /** Peer addresses of the other entries. */
  readonly addresses: readonly string[];
  readonly hello: () => Hello;
  readonly views: Versioned<View>;
  readonly configurations: Versioned<Configuration>;
}
