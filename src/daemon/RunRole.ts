import type ExitCode from '../core/ExitCode';
import type ProcessFaults from '../observe/ProcessFaults';

/** Runs a process in one role until the signal is aborted and all work in progress is finished. */
type RunRole<RoleSettings> = (
  settings: RoleSettings,
  signal: AbortSignal,
  faults?: ProcessFaults,
) => Promise<ExitCode>;
export type { RunRole as default };
