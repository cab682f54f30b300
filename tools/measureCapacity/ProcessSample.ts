/** Resource use of one process, as counted by the operating system. */
export default interface ProcessSample {
  /** User and system CPU time since the process started, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, in megabytes of 1024 * 1024 bytes. */
  readonly rssMb: number;
  /** Monotonic time of the sample, in milliseconds. */
  readonly at: number;
}
