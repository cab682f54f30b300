/**
 * Why a call to a backend server gave no result. `unanswered`: it may have been executed, and may still be.
 * `closed`: nothing listens at the address; the call was not executed. `replaced`: a backend server with
 * another id is there; the call was not executed. `reborn`: a later incarnation under the same id has answered;
 * if the call was executed at all, that one did it. `refused`: the backend server rejected the call.
 */
export default interface BackendRunFailure {
  readonly kind: 'unanswered' | 'closed' | 'replaced' | 'reborn' | 'refused';
  readonly reason: string;
}
