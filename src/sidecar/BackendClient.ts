import type { ResultAsync } from 'neverthrow';
import type Announcement from './Announcement';
import type BackendAnswer from './BackendAnswer';
import type BackendCall from './BackendCall';
import type BackendError from './BackendError';

/** How a sidecar reaches its backend server. */
export default interface BackendClient {
  /**
   * Hands over one task. Ends when the backend server has answered or its
   * connection has closed, never earlier. The signal asks it to stop, by ending
   * this side of the connection; a backend server may finish the task all the same.
   */
  run(
    backend: Announcement,
    call: BackendCall,
    signal: AbortSignal,
  ): ResultAsync<BackendAnswer, BackendError>;

  /** Closes the idle connections to a backend server that has left. */
  forget(backend: Announcement): void;
}
