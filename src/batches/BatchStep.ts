import type Resources from '../room/Resources';

/** A group of identical tasks of a batch. */
export default interface BatchStep {
  readonly count: number;
  /** Resources that each task needs. */
  readonly needs: Resources;
  /** Expected duration of a task; 0 if unknown. */
  readonly estimateMs: number;
  /** The caller's own estimate, if another duration is expected. */
  readonly statedMs?: number;
  /** Numbers of earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** A label that the backend server must have; empty for none. */
  readonly label: string;
  /** A label that the backend server should have, since tasks are faster there; empty for none. */
  readonly preferredLabel: string;
  /** Most tasks of the step on one backend server at the same time; 0 for no limit. */
  readonly mostTogether: number;
}
