/** An option that a command accepts. */
export default interface CommandOption {
  /** In the syntax of the help: `--limit <seconds>` for an option with a value, `--wait` for a switch. */
  readonly flags: string;
  readonly description: string;
  readonly default?: string | number | boolean;
}
