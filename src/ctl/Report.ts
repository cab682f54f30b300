import type ExitCode from '../core/ExitCode';

/** What a command found or did, for people and for programs. */
export default interface Report {
  /** Lines for people. */
  readonly lines: readonly string[];
  /** The same for programs. */
  readonly json: object;
  /** `ok` when absent. */
  readonly exitCode?: ExitCode;
}
