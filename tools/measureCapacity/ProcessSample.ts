/** What one process has used, as the operating system counts it. */
export default interface ProcessSample {
  /** Processor time since the process started, user and system, milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, megabytes of 1024 * 1024 bytes. */
  readonly rssMb: number;
  /** Monotonic time of the sample, milliseconds. */
  readonly at: number;
}
