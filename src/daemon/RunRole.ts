import type ExitCode from '../core/ExitCode';
import type UncaughtErrorHandler from '../observe/UncaughtErrorHandler';

/** Runs a process in one role until the signal is aborted and all work in progress is finished. */
type RunRole<RoleSettings> = (
  settings: RoleSettings,
  signal: AbortSignal,
  faults?: UncaughtErrorHandler,
) => Promise<ExitCode>;
export type { RunRole as default };
