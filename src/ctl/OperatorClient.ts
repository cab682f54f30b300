import type { ResultAsync } from 'neverthrow';
import type OperatorAnswer from './OperatorAnswer';

/** Calls the operators' listeners of running processes. */
export default interface OperatorClient {
  /** Sends one request; the error says why there was no answer. */
  request(
    method: 'GET' | 'POST',
    address: string,
    path: string,
  ): ResultAsync<OperatorAnswer, string>;
}
