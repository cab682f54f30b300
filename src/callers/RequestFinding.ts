/** One mistake in a caller's request. */
export default interface RequestFinding {
  /** Where it is: a header, a query parameter or a path into the body. */
  readonly place: string;
  /** What was found and what was expected. */
  readonly reason: string;
}
