import pulseTimings from '../peering/pulseTimings';
import runLimits from './runLimits';

/** A backend server's clock may be 3% slow against ours, so leases last longer by this factor. */
const SLOW_CLOCK_FACTOR = 1.03;

/** Messages on their way and late timers, ms. */
const MARGIN_MS = 120;

const LEASE_END_BOUND_MS = runLimits.leaseMs * SLOW_CLOCK_FACTOR + runLimits.killMs + MARGIN_MS;

/** After which runs are certainly over, in milliseconds. */
const RUN_END_BOUND_MS = {
  /**
   * After the entry that ordered them last confirmed that it is awake: the sidecar's patience, a lease renewed
   * at its end, and the killing.
   */
  afterConfirmation: pulseTimings.ownerSilenceMs + LEASE_END_BOUND_MS,
  /** After the entry's process has ended: its sidecars stop them, or their leases pass. */
  afterProcessEnd: LEASE_END_BOUND_MS,
} as const;

export default RUN_END_BOUND_MS;
