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

type MachineRatios = ReadonlyMap<SidecarPeer, number>;

/**
 * The decisions of an entry about batches under load, without any I/O. Each is a function of what
 * the entry knows at that moment, so that alternatives can be tried.
 */
export default interface BatchPolicy {
  /** Expected duration of a task, from its estimate and the history of its queue. */
  readonly predictDuration: (durations: DurationModel, queue: string, estimateMs: number) => number;
  /**
   * Time that a caller has probably spent on earlier attempts, derived from how long it says it
   * will wait.
   */
  readonly estimateSpent: (model: SpentTimeModel, queue: string, waitMs: number) => number;
  /** Urgency of a waiting batch, which decides the order in which batches get capacity. */
  readonly urgency: typeof urgencyOf;
  /** Duration ratios, relative to the mean, of the machines that deviate from it. */
  readonly machineRatios: (
    fleet: FleetDurationRatios,
    peers: Iterable<SidecarPeer>,
  ) => MachineRatios;
  /** The sidecar where a task starts; undefined if none can accept it now. */
  readonly choose: typeof choosePeer;
  /**
   * Whether a task is dispatched to the same sidecar, in the same message, as the previous task of
   * its batch.
   */
  readonly canShareMessage: typeof canShareMessage;
  /**
   * Whether a batch that would have to wait is refused, by its predicted start. If undefined, no
   * batch is shed and entries do not exchange load reports.
   */
  readonly shouldRefuse?: typeof shouldRefuseEarly;
  /**
   * Combines the entry's own load and the reported load of others, as the basis of that prediction.
   */
  readonly poolLoads: typeof combineLoads;
  /** Backend servers to eject: they get nothing but probes. */
  readonly findOutliers: typeof findOutliers;
  /**
   * Whether a task is failed rather than retried, since too many backend servers have crashed under
   * it.
   */
  readonly exceedsCrashLimit: typeof exceedsCrashLimit;
  /** Which runs are suspected of crashes that happened at about the same time. */
  readonly attributeCrashes: typeof attributeCrashes;
  /** Whether a run at an ejected backend server is stopped and restarted elsewhere. */
  readonly shouldMove: typeof isWorthMoving;
}
