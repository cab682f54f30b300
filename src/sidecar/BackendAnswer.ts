/** What a backend server said of a task that it ran. */
export default interface BackendAnswer {
  /** False when the task ran and failed. */
  readonly ok: boolean;
  readonly output: Uint8Array;
  /** Why it failed; empty otherwise. */
  readonly reason: string;
}
