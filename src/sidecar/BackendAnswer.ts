/** Answer of a backend server to a task that it ran. */
export default interface BackendAnswer {
  /** False when the task ran and failed. */
  readonly ok: boolean;
  readonly output: Uint8Array;
  /** Why the task failed; empty otherwise. */
  readonly reason: string;
}
