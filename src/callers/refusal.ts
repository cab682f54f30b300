import type { Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import outcomeTable from './outcomeTable';
import type RequestError from './RequestError';

/** A refusal for a reason other than the request itself, with the status and name of its outcome. */
export default function refusal(outcome: Outcome, reason: string): RequestError {
  const { status, name } = outcomeTable[outcome];
  return { status, outcome: name, reason };
}
