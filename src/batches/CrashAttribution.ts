import type CrashedRun from './CrashedRun';

/** Who is suspected of crashes that came together; what is in neither list stays as it was. */
export default interface CrashAttribution {
  /** Runs whose tasks are not suspected, since the crashes have another cause. */
  readonly excused: readonly CrashedRun[];
  /** Runs whose tasks are suspected also if they were excused before more was known. */
  readonly blamed: readonly CrashedRun[];
}
