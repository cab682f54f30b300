import type TimerService from '../core/TimerService';
import type BackendHeartbeat from './BackendHeartbeat';
import type EventLog from '../observe/EventLog';
import type IncarnationClient from './IncarnationClient';
import type IncarnationOutcome from './IncarnationOutcome';

/** What one life of a backend server is served with. */
export default interface BackendIncarnationOptions {
  readonly timer: TimerService;
  readonly report: BackendHeartbeat;
  readonly backend: IncarnationClient;
  /** The highest fencing token that earlier lives under the id were sent; 0 for none. */
  readonly previousToken: number;
  readonly log: EventLog;
  /** Why nothing is started there now for reasons of its surroundings, if so. */
  readonly startBlocker: () => string | undefined;
  /** Told when the room, or whether it may be used, has changed. */
  readonly onChange: () => void;
  /** Whether the life before this one has crashed a short time ago. */
  readonly hasCrashedRecently: () => boolean;
  /** Told once, when this life has ended, before the owners of its runs are. */
  readonly onEnded: (outcome: IncarnationOutcome) => void;
}
