import { Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import type OutcomeRow from './OutcomeRow';

/**
 * HTTP status and name of each outcome, defined only here. Load balancers retry
 * some statuses on their own: of these only 503 is used, and only for requests
 * that have not run (`docs/design/callers.md`).
 */
const outcomeTable: Record<Outcome, OutcomeRow> = {
  [Outcome.UNSPECIFIED]: { status: 424, name: 'unknown' },
  [Outcome.COMPLETED]: { status: 200, name: 'completed' },
  [Outcome.FAILED]: { status: 422, name: 'failed' },
  [Outcome.NOT_RUN]: { status: 503, name: 'not-run' },
  [Outcome.UNKNOWN]: { status: 424, name: 'unknown' },
  [Outcome.PENDING]: { status: 202, name: 'pending' },
  [Outcome.CONFLICT]: { status: 409, name: 'conflict' },
  [Outcome.ABSENT]: { status: 404, name: 'absent' },
  [Outcome.EXPIRED]: { status: 410, name: 'expired' },
  [Outcome.CANCELLED]: { status: 410, name: 'cancelled' },
  [Outcome.INVALID]: { status: 400, name: 'invalid' },
};

export default outcomeTable;
