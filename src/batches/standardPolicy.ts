import combineLoads from '../sharing/combineLoads';
import type BatchPolicy from './BatchPolicy';
import choosePeer from './choosePeer';
import exceedsCrashLimit from './exceedsCrashLimit';
import findOutliers from './findOutliers';
import attributeCrashes from './attributeCrashes';
import canShareMessage from './canShareMessage';
import urgencyOf from './urgencyOf';
import isWorthMoving from './isWorthMoving';

/** The default decisions. */
const standardPolicy: BatchPolicy = {
  predictDuration: (durations, queue, estimateMs) => durations.predict(queue, estimateMs),
  estimateSpent: (model, queue, waitMs) => model.observe(queue, waitMs),
  urgency: urgencyOf,
  machineRatios: (fleet, peers) => fleet.relativeToMean(peers),
  choose: choosePeer,
  canShareMessage,
  poolLoads: combineLoads,
  findOutliers,
  exceedsCrashLimit,
  attributeCrashes,
  shouldMove: isWorthMoving,
};

export default standardPolicy;
