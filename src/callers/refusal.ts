import type { Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import outcomeTable from './outcomeTable';
import type RequestError from './RequestError';

/** A refusal that is not put down to the request, with the status and the name of its outcome. */
export default function refusal(outcome: Outcome, reason: string): RequestError {
  const { status, name } = outcomeTable[outcome];
  return { status, outcome: name, reason };
}
