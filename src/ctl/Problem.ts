import type ExitCode from '../core/ExitCode';

/** Why a command could not do what it was asked. */
export default interface Problem {
  readonly exitCode: ExitCode;
  /** Lines for people, the first one the reason. */
  readonly lines: readonly string[];
  /** More for programs, beside `reason` and `exitCode`. */
  readonly json?: object;
}
