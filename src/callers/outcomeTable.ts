import { Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import type OutcomeRow from './OutcomeRow';

/** How each outcome appears to callers. This table is the only place that knows. */
const outcomeTable: Record<Outcome, OutcomeRow> = {
  [Outcome.UNSPECIFIED]: { status: 500, name: 'unknown' },
  [Outcome.COMPLETED]: { status: 200, name: 'completed' },
  [Outcome.FAILED]: { status: 502, name: 'failed' },
  [Outcome.NOT_RUN]: { status: 503, name: 'not-run' },
  [Outcome.UNKNOWN]: { status: 504, name: 'unknown' },
  [Outcome.PENDING]: { status: 202, name: 'pending' },
  [Outcome.CONFLICT]: { status: 409, name: 'conflict' },
  [Outcome.ABSENT]: { status: 404, name: 'absent' },
  [Outcome.EXPIRED]: { status: 410, name: 'expired' },
  [Outcome.CANCELLED]: { status: 410, name: 'cancelled' },
  [Outcome.INVALID]: { status: 400, name: 'invalid' },
};

export default outcomeTable;
