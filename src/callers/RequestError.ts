import type RequestFinding from './RequestFinding';

/** Why a caller's request was not accepted, with its HTTP status. */
export default interface RequestError {
  readonly status: number;
  /** Name of the outcome; `invalid` when the mistake is the request's own. */
  readonly outcome?: string;
  /** What was found and what was expected, with its place. */
  readonly reason: string;
  /** The mistakes one by one, up to a limit, where there is more to say than the reason. */
  readonly findings?: readonly RequestFinding[];
  /** The methods that the path allows, where the method was the mistake. */
  readonly allow?: string;
}
