import type RetiredParts from './RetiredParts';

/** One applied manifest, as the store keeps it. */
export default interface StoredManifest {
  /** Grows by one with each apply. */
  readonly version: number;
  /** Names the apply, so that it knows its own write again. */
  readonly applyId: string;
  readonly manifest: object;
  /** Wall-clock time of the apply, ISO 8601. */
  readonly appliedAt: string;
  /** Services and teams removed lately; they are kept until the jobs of that time are forgotten. */
  readonly retired?: RetiredParts;
  /** The earlier version that this one repeats, for a rollback. */
  readonly rollbackOf?: number;
}
