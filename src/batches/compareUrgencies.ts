import type Urgency from './Urgency';

/** Below 0 when the first goes before the second. */
export default function compareUrgencies(a: Urgency, b: Urgency): number {
  return a.rank - b.rank || a.slackMs - b.slackMs;
}
