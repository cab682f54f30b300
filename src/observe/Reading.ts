/** One value that is read when metrics are shown, with its labels in the table's order. */
export default interface Reading {
  readonly labels?: readonly string[];
  readonly value: number;
}
