import type Urgency from './Urgency';

/** Sort order of urgencies: below 0 if `a` goes first. */
export default function compareUrgencies(a: Urgency, b: Urgency): number {
  return a.rank - b.rank || a.slackMs - b.slackMs;
}
