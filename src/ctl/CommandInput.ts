/** What a command is called with. Options have camel-case names. */
export default interface CommandInput {
  readonly args: readonly string[];
  readonly options: Readonly<Record<string, unknown>>;
  /** True when the result is to be printed as JSON. */
  readonly json: boolean;
}
