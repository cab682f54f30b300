import pulseTimings from '../peering/pulseTimings';
import runLimits from './runLimits';

/** A backend server's clock may be 3% slow against ours, so leases last longer by this factor. */
const SLOW_CLOCK_FACTOR = 1.03;

/** Message delay and timer lag, ms. */
const MARGIN_MS = 120;

const LEASE_END_BOUND_MS = runLimits.leaseMs * SLOW_CLOCK_FACTOR + runLimits.killMs + MARGIN_MS;

/** Upper bounds of the time after which runs have ended, in milliseconds. */
const RUN_END_BOUND_MS = {
  /**
   * After the last proof that the entry which requested them is alive: the sidecar's limit for silence, a lease
   * renewed at the end of that, and the time for killing.
   */
  afterConfirmation: pulseTimings.ownerTimeoutMs + LEASE_END_BOUND_MS,
  /** After the entry's process has ended: its sidecars stop them, or their leases expire. */
  afterProcessEnd: LEASE_END_BOUND_MS,
} as const;

export default RUN_END_BOUND_MS;
