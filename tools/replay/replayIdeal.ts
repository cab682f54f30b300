import idealTally from './idealTally';
import type Outcome from './Outcome';
import type Recording from './Recording';

/** Outcomes that perfect knowledge would achieve under the same load, by queue and in all. */
export default function replayIdeal(recording: Recording): readonly Outcome[] {
  return idealTally(recording).outcomes;
}
