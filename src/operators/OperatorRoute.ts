import type OperatorReply from './OperatorReply';

/** One route of the operators' listener. */
export default interface OperatorRoute {
  readonly method: 'GET' | 'POST';
  /** Matches the whole path; its groups are passed to the handler, decoded. */
  readonly path: RegExp;
  readonly handle: (
    names: readonly string[],
    query: URLSearchParams,
  ) => OperatorReply | Promise<OperatorReply>;
}
