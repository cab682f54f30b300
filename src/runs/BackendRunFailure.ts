/**
 * Why a call to a backend server gave no result.
 * `unanswered`: it may have been carried out, and may still be.
 * `closed`: nothing listens at the address; the call was not carried out.
 * `replaced`: another life of the backend server is there; the call was not carried out.
 * `refused`: the backend server answered that it does not take this call.
 */
export default interface BackendRunFailure {
  readonly kind: 'unanswered' | 'closed' | 'replaced' | 'refused';
  readonly reason: string;
}
