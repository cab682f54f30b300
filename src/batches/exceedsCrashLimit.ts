import type BatchTask from './BatchTask';

/**
 * Whether a task is failed because backend servers crash under it: when it was the likeliest cause
 * three times, the last time alone (`needsExclusiveBackend`). A task that merely ran there is tolerated for
 * longer, because a backend server may crash by itself.
 */
export default function exceedsCrashLimit({ suspicion, crashes }: BatchTask): boolean {
  return suspicion >= MAX_SUSPICION || crashes >= MAX_CRASHES;
}

/** Number of crashes of which a task was the likeliest cause. */
const MAX_SUSPICION = 3;

/**
 * Number of crashes at which a task was running: the documentation for users allows three starts
 * after the third.
 */
const MAX_CRASHES = 5;
