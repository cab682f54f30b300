import type ActiveManifest from './ActiveManifest';

/** What admission looks at. */
export default interface AdmissionOptions {
  readonly manifest: ActiveManifest;
  /** Bytes that job records may take. */
  readonly recordBytes: number;
  /** Number of tasks waiting for a service. */
  readonly queued: (service: string) => number;
  /** How long a further task of a team would wait. */
  readonly predictedWaitMs: (service: string, team: string) => number;
  readonly isLeaving: () => boolean;
}
