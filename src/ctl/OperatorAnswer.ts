/** Response of a process's operators' listener. */
export default interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}
