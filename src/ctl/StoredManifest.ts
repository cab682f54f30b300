import type RetiredParts from './RetiredParts';

/** An applied manifest as it is stored. */
export default interface StoredManifest {
  /** Increases by one with each apply. */
  readonly version: number;
  /** Unique id of the apply, by which it recognises its own write when the answer was lost. */
  readonly applyId: string;
  readonly manifest: object;
  /** Wall-clock time of the apply, ISO 8601. */
  readonly appliedAt: string;
  /** Recently removed services and teams, kept until the retention of the jobs that used them has ended. */
  readonly retired?: RetiredParts;
  /** For a rollback, the earlier version whose manifest this one repeats. */
  readonly rollbackOf?: number;
}
