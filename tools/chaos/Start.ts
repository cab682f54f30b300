/** A start of a task as a backend server reported it. */
export default interface Start {
  readonly backend: string;
  /** The system's name of the task. */
  readonly task: string;
  /** Id of the work and index of the task, as the caller wrote them into the input. */
  readonly id: string;
  readonly index: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}
