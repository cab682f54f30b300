import type { ResultAsync } from 'neverthrow';
import type BackendPollResult from './BackendPollResult';
import type BackendRefusal from './BackendRefusal';
import type BackendRunFailure from './BackendRunFailure';
import type RunId from './RunId';

/**
 * The calls to one life of a backend server that runs tasks under a lease. Every call names the
 * fencing token; a backend server that has seen a higher one does nothing.
 *
 * A call that fails as `unanswered` may have been carried out, and may still be, seconds later. Each
 * call says how long its answer is waited for, ms.
 */
export default interface BackendRunClient {
  /**
   * Starts a run; also fine when that run is already there. `leaseUntil` is a time on the backend
   * server's clock, up to which everything there may run.
   */
  start(
    run: RunId,
    spec: string,
    leaseUntil: number,
    token: number,
    timeoutMs: number,
  ): ResultAsync<BackendRefusal | 'started', BackendRunFailure>;

  /** Stops a run. Once this is acknowledged, a start of it that is still under way is refused. */
  stop(run: RunId, token: number, timeoutMs: number): ResultAsync<void, BackendRunFailure>;

  /**
   * Renews the lease of everything there, forgets the ends up to `seenEnd`, and tells what runs and
   * what ended. It waits there up to `waitMs` for an end, and then `timeoutMs` for the answer. Without `leaseUntil` nothing is renewed.
   */
  poll(
    seenEnd: number,
    token: number,
    waitMs: number,
    timeoutMs: number,
    leaseUntil?: number,
  ): ResultAsync<BackendPollResult, BackendRunFailure>;
}
