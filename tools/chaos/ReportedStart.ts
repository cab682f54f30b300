/** A start of a task, as reported by a backend server. */
export default interface ReportedStart {
  readonly backend: string;
  /** The dispatcher's name for the task. */
  readonly task: string;
  /** Id of the work item and index of the task, both from the task's input. */
  readonly id: string;
  readonly index: number;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}
