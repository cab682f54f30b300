/** Why a call to a backend server ended without an answer. */
export default interface BackendError {
  /**
   * `unsent`: the request is known not to have been sent, so the task did not run.
   * `lost`: the connection closed before the answer; the task may have run.
   */
  readonly kind: 'unsent' | 'lost';
  readonly reason: string;
}
