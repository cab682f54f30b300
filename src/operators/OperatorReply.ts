/** What the operators' listener answers. */
export default interface OperatorReply {
  readonly status: number;
  /** JSON unless it is text. */
  readonly body: string | object;
}
