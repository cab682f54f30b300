/** HTTP status of an outcome, and its name in bodies and in the header `Magnoliakeel-Outcome`. */
export default interface OutcomeRow {
  readonly status: number;
  readonly name: string;
}
