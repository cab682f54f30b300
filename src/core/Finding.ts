/** One mistake in a file that an operator wrote. */
export default interface Finding {
  readonly file: string;
  /** Line, counted from 1. */
  readonly line: number;
  /** Column, counted from 1. */
  readonly column: number;
  /** Path in the document, as dotted keys: `services.0.name`. Empty for the whole document. */
  readonly path: string;
  /** What was found and what was expected. */
  readonly message: string;
}
