import type TimerService from '../core/TimerService';
import type BackendHeartbeat from './BackendHeartbeat';
import type EventLog from '../observe/EventLog';
import type IncarnationClient from './IncarnationClient';
import type IncarnationOutcome from './IncarnationOutcome';

/** What one incarnation of a backend server is served with. */
export default interface BackendIncarnationOptions {
  readonly timer: TimerService;
  readonly heartbeat: BackendHeartbeat;
  readonly backend: IncarnationClient;
  /** The highest fencing token sent to earlier incarnations under the id; 0 for none. */
  readonly previousToken: number;
  readonly log: EventLog;
  /** Why nothing may be started now for reasons outside the backend server, if so. */
  readonly startBlocker: () => string | undefined;
  /** Called when the free capacity, or whether it may be used, has changed. */
  readonly onChange: () => void;
  /** Whether the previous incarnation crashed a short time ago. */
  readonly hasCrashedRecently: () => boolean;
  /** Called once, when this incarnation has ended, before the owners of its runs are notified. */
  readonly onEnded: (outcome: IncarnationOutcome) => void;
}
