/** Why a caller's request was not accepted, with its HTTP status. */
export default interface RequestError {
  readonly status: number;
  /** What was found and what was expected, with its place. */
  readonly reason: string;
}
