import type OperatorReply from './OperatorReply';

/** One route of the operators' listener. */
export default interface OperatorRoute {
  readonly method: 'GET' | 'POST';
  /** The whole path; its groups are handed to the handler, decoded. */
  readonly path: RegExp;
  readonly handle: (
    names: readonly string[],
    query: URLSearchParams,
  ) => OperatorReply | Promise<OperatorReply>;
}
