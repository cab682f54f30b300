import type ActiveManifest from './ActiveManifest';

/** The state that admission control decides by. */
export default interface AdmissionOptions {
  readonly manifest: ActiveManifest;
  /** Memory limit for job records, in bytes. */
  readonly recordBytes: number;
  /** Number of tasks waiting for a service. */
  readonly queueLength: (service: string) => number;
  /** Predicted wait of one more task of a team, in milliseconds. */
  readonly predictedWaitMs: (service: string, team: string) => number;
  readonly isLeaving: () => boolean;
}
