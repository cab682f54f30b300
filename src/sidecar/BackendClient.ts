import type { ResultAsync } from 'neverthrow';
import type Announcement from './Announcement';
import type BackendAnswer from './BackendAnswer';
import type BackendCall from './BackendCall';
import type BackendError from './BackendError';

/** Client through which a sidecar runs tasks at its backend server. */
export default interface BackendClient {
  /**
   * Runs one task. Resolves when the backend server has answered or its
   * connection has closed, never earlier. The signal asks the backend server to
   * stop by half-closing the connection; it may still finish the task.
   */
  run(
    backend: Announcement,
    call: BackendCall,
    signal: AbortSignal,
  ): ResultAsync<BackendAnswer, BackendError>;

  /** Closes the idle connections to a backend server that has left. */
  closeIdle(backend: Announcement): void;
}
