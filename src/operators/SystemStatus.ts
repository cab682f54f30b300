import type ProcessStatus from './ProcessStatus';

/** The whole system as one entry sees it, with what the other members told when asked. */
export default interface SystemStatus {
  /** Instance of the entry that was asked. */
  readonly asked: string;
  /** Number of the view that the entry knows. */
  readonly viewNumber: number;
  /** Version of the configuration in force at the entry. */
  readonly configurationVersion: number;
  /** Members of the view and the sidecars linked to them, entries first, by instance. */
  readonly processes: readonly ProcessStatus[];
}
