import type ProcessStatus from './ProcessStatus';

/** The state of the whole system: what one entry knows, and the answers of the other members of its view. */
export default interface SystemStatus {
  /** Instance of the entry that was asked. */
  readonly asked: string;
  /** Number of that entry's view. */
  readonly viewNumber: number;
  /** Version of the active configuration at that entry. */
  readonly configurationVersion: number;
  /** Members of the view and the sidecars linked to them: entries first, each kind sorted by instance. */
  readonly processes: readonly ProcessStatus[];
}
