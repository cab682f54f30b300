import type Resources from '../room/Resources';

/** Tasks of a batch that are alike. */
export default interface BatchStep {
  readonly count: number;
  /** What each task needs. */
  readonly needs: Resources;
  /** How long a task is expected to take; 0 when nothing is known. */
  readonly estimateMs: number;
  /** What the caller said of that, where something else is expected. */
  readonly statedMs?: number;
  /** Numbers of earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** A label that the backend server must have; empty for none. */
  readonly label: string;
  /** A label that the backend server should have, since tasks are faster there; empty for none. */
  readonly preferredLabel: string;
  /** Most tasks of the step on one backend server at once; 0 for no limit. */
  readonly mostTogether: number;
}
