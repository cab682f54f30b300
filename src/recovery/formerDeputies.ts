import ownerOf from '../core/ownerOf';
import type { Member, View } from '../gen/magnoliakeel/v1/peer_pb';
import deputiesOf from './deputiesOf';

/**
 * The members that may keep the cancellation of a job whose owner was removed in a previous view, current at or after a
 * wall-clock time.
 */
export default function formerDeputies(
  view: View,
  job: string,
  sinceMs: number,
  self: string,
): Member[] {
  const members = new Set(view.members.map(({ incarnation }) => incarnation));
  const deputies = view.past
    .filter(({ untilMs }) => Number(untilMs) >= sinceMs)
    .filter(({ incarnations }) => !members.has(ownerOf(job, incarnations) ?? ''))
    .flatMap(({ incarnations }) => deputiesOf(job, incarnations));
  return view.members.filter(
    ({ incarnation }) => incarnation !== self && deputies.includes(incarnation),
  );
}
