import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

/**
 * Whether a run at an ejected backend server should be stopped and restarted elsewhere. This is for
 * runs that make little or no progress and would end long after their caller needs them. The work
 * done so far is lost, so moving has to pay off: the remaining time there must clearly exceed the
 * whole duration elsewhere. Each task is moved at most once, so that wrong estimates cannot keep it
 * moving.
 */
export default function isWorthMoving(run: DispatchedRun, peer: SidecarPeer, now: number): boolean {
  const { task, dispatchedAt, isStopping } = run;
  const { estimateMs } = task.step;
  if (isStopping || task.moves >= MAX_MOVES || estimateMs <= 0) return false;
  const elapsedMs = now - dispatchedAt;
  if (elapsedMs < MIN_ELAPSED_MS) return false;
  const remainingMs = estimateMs * (peer.slowness ?? 1) - elapsedMs;
  return remainingMs > estimateMs * MIN_GAIN + STOP_AND_RESTART_MS;
}

/** Most moves of one task. */
const MAX_MOVES = 1;

/**
 * Shortest time before a run may be moved, ms, so that the slowness found includes its own
 * progress.
 */
const MIN_ELAPSED_MS = 200;

/** Multiple of the estimate that the remaining time has to exceed. */
const MIN_GAIN = 1.5;

/** Time until a stopped run is known to have ended and is restarted, ms. */
const STOP_AND_RESTART_MS = 120;
