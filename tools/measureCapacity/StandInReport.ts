/** Report of a process about all its stand-in links; counts are totals since its start. */
export default interface StandInReport {
  /** Number of open links. */
  readonly links: number;
  readonly bytesReceived: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly messagesSent: number;
  /** Number of tasks that were started and answered. */
  readonly tasks: number;
  /** Oldest view number among the links. */
  readonly view: number;
  /** Wall-clock time at which the last link received its view, in milliseconds. */
  readonly viewAt: number;
  /** Oldest configuration version among the links. */
  readonly configuration: number;
  /** Wall-clock time at which the last link received its configuration, in milliseconds. */
  readonly configurationAt: number;
}
