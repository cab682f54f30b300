import type { ResultAsync } from 'neverthrow';
import type OperatorAnswer from './OperatorAnswer';

/** Sends requests to the operators' listeners of running processes. */
export default interface OperatorClient {
  /** Sends one request. The error is the reason why no response was received. */
  request(
    method: 'GET' | 'POST',
    address: string,
    path: string,
  ): ResultAsync<OperatorAnswer, string>;
}
