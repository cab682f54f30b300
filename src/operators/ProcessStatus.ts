import type ServiceStatus from './ServiceStatus';

/** One process of the system as operators see it. */
export default interface ProcessStatus {
  readonly role: 'entry' | 'sidecar';
  readonly instance: string;
  /** Unique for each run of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Address of its operators' listener; empty when it is not known. */
  readonly operators: string;
  /** Version of the configuration in force there; 0 for none yet. */
  readonly configurationVersion: number;
  /** Number of the newest view known there; 0 where that is not told. */
  readonly viewNumber: number;
  readonly leaving: boolean;
  /** Whether it answered or, for a sidecar, is linked to an entry that did. */
  readonly reachable: boolean;
  /** Entries: jobs on record. */
  readonly jobs: number;
  /** Entries: queues and idle credits. */
  readonly loads: readonly ServiceStatus[];
  /** Sidecars: services of the backend servers announced. */
  readonly services: readonly string[];
  /** Sidecars: number of entries linked to it. */
  readonly links: number;
}
