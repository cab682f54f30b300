import type ExitCode from '../core/ExitCode';

/** Result of a command that failed. */
export default interface CommandFailure {
  readonly exitCode: ExitCode;
  /** Text output; the first line is the reason. */
  readonly lines: readonly string[];
  /** Additional fields of the JSON output, next to `reason` and `exitCode`. */
  readonly json?: object;
}
