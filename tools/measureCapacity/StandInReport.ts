/** What a process of stand-in links tells about all its links together; counts are totals since its start. */
export default interface StandInReport {
  /** Links open now. */
  readonly links: number;
  readonly bytesReceived: number;
  readonly bytesSent: number;
  readonly messagesReceived: number;
  readonly messagesSent: number;
  /** Tasks started and answered. */
  readonly tasks: number;
  /** Oldest of the views that the links know. */
  readonly view: number;
  /** Wall-clock time at which the last link heard that view. */
  readonly viewAt: number;
  /** Oldest of the configurations that the links know. */
  readonly configuration: number;
  /** Wall-clock time at which the last link heard that configuration. */
  readonly configurationAt: number;
}
