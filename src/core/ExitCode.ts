import type exitCodes from './exitCodes';

/** One of the documented exit codes. */
type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
export type { ExitCode as default };
