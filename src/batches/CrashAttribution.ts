import type CrashedRun from './CrashedRun';

/**
 * Attribution of crashes that happened at about the same time. Runs in neither list keep their
 * state.
 */
export default interface CrashAttribution {
  /** Runs whose tasks are not suspected, since the crashes have another cause. */
  readonly excused: readonly CrashedRun[];
  /** Runs whose tasks are suspected, even if they were excused earlier on less evidence. */
  readonly blamed: readonly CrashedRun[];
}
