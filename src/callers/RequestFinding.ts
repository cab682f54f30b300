/** One error in a caller's request. */
export default interface RequestFinding {
  /** Location of the error: a header, a query parameter or a path into the body. */
  readonly place: string;
  /** What was found and what was expected. */
  readonly reason: string;
}
