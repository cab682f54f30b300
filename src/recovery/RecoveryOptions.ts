import type TimerService from '../core/TimerService';
import type Versioned from '../core/Versioned';
import type { HeldJob, View } from '../gen/magnoliakeel/v1/peer_pb';
import type Network from '../link/Network';

/** What recovery needs from the entry around it. */
export default interface RecoveryOptions {
  readonly timer: TimerService;
  readonly self: string;
  readonly views: Versioned<View>;
  readonly network: Pick<Network, 'claim'>;
  /** Has a sidecar report a job's tasks to this entry from now on; resolves to undefined when it can't be asked. */
  readonly adopt: (sidecar: string, job: string) => Promise<HeldJob | undefined>;
  /** How long a sidecar may be disconnected before its evidence counts as lost. */
  readonly witnessMs: number;
  readonly clockSkewMs: number;
}
