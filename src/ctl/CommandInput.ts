/** The parsed command line of a command. Option names are in camel case. */
export default interface CommandInput {
  readonly args: readonly string[];
  readonly options: Readonly<Record<string, unknown>>;
  /** True when the result is to be printed as JSON. */
  readonly json: boolean;
}
