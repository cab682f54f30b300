import type ExitCode from '../core/ExitCode';

/** Result of a command that succeeded, as text and as JSON. */
export default interface CommandReport {
  /** Text output. */
  readonly lines: readonly string[];
  /** JSON output. */
  readonly json: object;
  /** Defaults to `ok`. */
  readonly exitCode?: ExitCode;
}
