import type { ResultAsync } from 'neverthrow';
import type BackendPollResult from './BackendPollResult';
import type BackendRefusal from './BackendRefusal';
import type BackendRunFailure from './BackendRunFailure';
import type RunId from './RunId';

/**
 * Client of one incarnation of a backend server that runs tasks under a lease. Every call carries the fencing
 * token; a backend server that has seen a higher one rejects it.
 *
 * A call that fails as `unanswered` may have been executed, and may still be, seconds later. Each call has its
 * own timeout for the answer, ms.
 */
export default interface BackendRunClient {
  /**
   * Starts a run; succeeds if that run is already there. `leaseUntil` is a time on the backend server's clock
   * up to which everything there may run.
   */
  start(
    run: RunId,
    spec: string,
    leaseUntil: number,
    token: number,
    timeoutMs: number,
  ): ResultAsync<BackendRefusal | 'started', BackendRunFailure>;

  /** Stops a run. Once this is acknowledged, a start of it that is still in flight is refused. */
  stop(run: RunId, token: number, timeoutMs: number): ResultAsync<void, BackendRunFailure>;

  /**
   * Renews the lease of everything there, acknowledges ends up to `seenEnd`, and returns what runs and what has
   * ended. The backend server waits up to `waitMs` for an end, and the answer may take `timeoutMs` more.
   * Without `leaseUntil` nothing is renewed.
   */
  poll(
    seenEnd: number,
    token: number,
    waitMs: number,
    timeoutMs: number,
    leaseUntil?: number,
  ): ResultAsync<BackendPollResult, BackendRunFailure>;
}
