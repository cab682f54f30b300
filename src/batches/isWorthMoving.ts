import type DispatchedRun from './DispatchedRun';
import type SidecarPeer from './SidecarPeer';

/**
 * Whether a run at a shunned backend server should be stopped and started elsewhere. It answers runs
 * that crawl or stand still, which would end long after their caller needs them. What was done is
 * thrown away, so it has to pay: the rest there must take clearly longer than the whole elsewhere.
 * Each task is moved once at most, so that wrong estimates cannot keep it moving.
 */
export default function isWorthMoving(run: DispatchedRun, peer: SidecarPeer, now: number): boolean {
  const { task, dispatchedAt: orderedAt, isStopping } = run;
  const { estimateMs } = task.step;
  if (isStopping || task.moves >= MOST_MOVES || estimateMs <= 0) return false;
  const elapsedMs = now - orderedAt;
  if (elapsedMs < LEAST_MS) return false;
  const restMs = estimateMs * (peer.slowness ?? 1) - elapsedMs;
  return restMs > estimateMs * CLEARLY + STOP_MS;
}

/** Moves of one task. */
const MOST_MOVES = 1;

/** A run is watched for this long first, ms, so that its own progress is in the finding. */
const LEAST_MS = 200;

/** Times the estimate that the rest has to exceed. */
const CLEARLY = 1.5;

/** Time until a stopped run is certainly over and started again, ms. */
const STOP_MS = 120;
