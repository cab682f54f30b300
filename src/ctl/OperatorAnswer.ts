/** What the operators' listener of a process answered. */
export default interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}
