import type Resources from '../room/Resources';
import type Urgency from './Urgency';

/** The batch that is first in line for the backend servers of a service, as sidecars are told of it. */
export default interface BacklogHead {
  readonly urgency: Urgency;
  /** What its next task needs. */
  readonly needs: Resources;
}
