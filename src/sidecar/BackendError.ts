/** Why a task has no answer from its backend server. */
export default interface BackendError {
  /**
   * `unsent`: the request certainly did not leave, so the task did not run.
   * `lost`: the connection ended before the answer; the task may have run.
   */
  readonly kind: 'unsent' | 'lost';
  readonly reason: string;
}
