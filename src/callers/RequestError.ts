import type RequestFinding from './RequestFinding';

/** The refusal of a caller's request, with its HTTP status. */
export default interface RequestError {
  readonly status: number;
  /** Name of the outcome; by default `invalid`, for errors in the request itself. */
  readonly outcome?: string;
  /** Where the error is, what was found and what was expected. */
  readonly reason: string;
  /** The individual errors, up to a limit, if the reason does not cover them all. */
  readonly findings?: readonly RequestFinding[];
  /** Value of the `Allow` header, if the method is not allowed. */
  readonly allow?: string;
}
