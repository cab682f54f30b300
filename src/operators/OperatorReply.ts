/** A response of the operators' listener. */
export default interface OperatorReply {
  readonly status: number;
  /** A string is sent as plain text, an object as JSON. */
  readonly body: string | object;
}
