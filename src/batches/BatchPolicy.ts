import type combineLoads from '../sharing/combineLoads';
import type SpentTimeModel from './SpentTimeModel';
import type choosePeer from './choosePeer';
import type DurationModel from './DurationModel';
import type shouldRefuseEarly from './shouldRefuseEarly';
import type exceedsCrashLimit from './exceedsCrashLimit';
import type attributeCrashes from './attributeCrashes';
import type canShareMessage from './canShareMessage';
import type findOutliers from './findOutliers';
import type urgencyOf from './urgencyOf';
import type FleetDurationRatios from '../placement/FleetDurationRatios';
import type SidecarPeer from './SidecarPeer';
import type isWorthMoving from './isWorthMoving';

type Speeds = ReadonlyMap<SidecarPeer, number>;

/**
 * The decisions of an entry for batches under load, apart from its input and output. Each is a
 * function of what the entry knows at that moment, so that others can be tried in its place.
 */
export default interface BatchPolicy {
  /** How long a task is expected to take, by its estimate and what was seen of its queue. */
  readonly predictDuration: (durations: DurationModel, queue: string, estimateMs: number) => number;
  /** Time that a caller seems to have spent elsewhere before, by how long it says that it waits. */
  readonly estimateSpent: (patience: SpentTimeModel, queue: string, waitMs: number) => number;
  /** How urgently a batch waits, and so the order in which batches get room. */
  readonly urgency: typeof urgencyOf;
  /** Times the middle that work takes at the backend servers that are unlike the others. */
  readonly speeds: (fleet: FleetDurationRatios, peers: Iterable<SidecarPeer>) => Speeds;
  /** Where a task starts, if anywhere now. */
  readonly choose: typeof choosePeer;
  /** Whether a task goes where the one before it in its batch goes, in the same order. */
  readonly canShareMessage: typeof canShareMessage;
  /**
   * Whether a batch that has to wait is refused, by when it is predicted to start. Where it is left out none is, and entries
   * tell each other nothing of their load.
   */
  readonly shouldRefuse?: typeof shouldRefuseEarly;
  /** The load by which that is predicted, from the entry's own and what others have told. */
  readonly poolLoads: typeof combineLoads;
  /** Backend servers that get no work but trials. */
  readonly findOutliers: typeof findOutliers;
  /** Whether a task is given up, since backend servers crash under it. */
  readonly exceedsCrashLimit: typeof exceedsCrashLimit;
  /** Who is suspected of crashes that came together. */
  readonly judgeCrashes: typeof attributeCrashes;
  /** Whether a run at a shunned backend server is stopped and started elsewhere. */
  readonly shouldMove: typeof isWorthMoving;
}
