import type BatchTask from './BatchTask';

/**
 * Whether a task is given up because backend servers crash under it: when it was the likeliest cause three times, the
 * last time alone (`hasToRunAlone`). One that was merely there is innocent for longer: the backend server may
 * crash by itself.
 */
export default function exceedsCrashLimit({ suspicion, crashes }: BatchTask): boolean {
  return suspicion >= MOST_SUSPICION || crashes >= MOST_CRASHES;
}

/** Crashes of which a task was the likeliest cause. */
const MOST_SUSPICION = 3;

/** Crashes at which a task was there: the users' pages allow three starts after the third. */
const MOST_CRASHES = 5;
