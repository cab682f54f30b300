import type Resources from '../room/Resources';
import type Urgency from './Urgency';

/**
 * The most urgent batch that waits for the backend servers of a service, as reported to sidecars.
 */
export default interface BacklogHead {
  readonly urgency: Urgency;
  /** Resources that its next task needs. */
  readonly needs: Resources;
}
