/** The output of a program. Each text is a whole line without its line break. */
export default interface Terminal {
  /** Prints a result to standard output. */
  print(text: string): void;

  /** Prints a mistake or a warning to standard error. */
  warn(text: string): void;
}
