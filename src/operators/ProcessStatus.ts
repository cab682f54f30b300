import type ServiceStatus from './ServiceStatus';

/** One process of the system, as reported to operators. */
export default interface ProcessStatus {
  readonly role: 'entry' | 'sidecar';
  readonly instance: string;
  /** Unique for each run of the process. */
  readonly incarnation: string;
  readonly zone: string;
  /** Address of its operators' listener; empty when unknown. */
  readonly operators: string;
  /** Version of its active configuration; 0 if it has none yet. */
  readonly configurationVersion: number;
  /** Number of the newest view that it knows; 0 when not reported. */
  readonly viewNumber: number;
  readonly leaving: boolean;
  /** Whether it answered or, for a sidecar, is linked to an entry that did. */
  readonly reachable: boolean;
  /** Entries: number of jobs with a record. */
  readonly jobs: number;
  /** Entries: queues and idle credits by service. */
  readonly loads: readonly ServiceStatus[];
  /** Sidecars: services of the announced backend servers. */
  readonly services: readonly string[];
  /** Sidecars: number of entries linked to it. */
  readonly links: number;
}
