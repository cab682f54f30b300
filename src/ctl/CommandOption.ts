/** One option of a command. */
export default interface CommandOption {
  /** As the help shows it: `--wait <seconds>`, or `--wait` for a switch. */
  readonly flags: string;
  readonly description: string;
  readonly default?: string | number | boolean;
}
