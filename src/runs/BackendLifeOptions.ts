import type TimerService from '../core/TimerService';
import type BackendReport from './BackendReport';
import type RunBackend from './RunBackend';
import type EventLog from '../observe/EventLog';

/** What one life of a backend server is served with. */
export default interface BackendLifeOptions {
  readonly timer: TimerService;
  readonly report: BackendReport;
  readonly backend: RunBackend;
  readonly log: EventLog;
  /** Why nothing is started there now for reasons of its surroundings, if so. */
  readonly obstacle: () => string | undefined;
  /** Told when the room, or whether it may be used, has changed. */
  readonly changed: () => void;
  /** Whether the life before this one has crashed a short time ago. */
  readonly hasCrashedLately: () => boolean;
  /** Told once, when nothing of this life runs any more and nothing will. */
  readonly over: (isCrash: boolean) => void;
}
