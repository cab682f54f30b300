import ownerOf from '../core/ownerOf';
import type { PastView, View } from '../gen/magnoliakeel/v1/peer_pb';
import type FormerOwner from './FormerOwner';

/** The entries other than `self` that owned a job in a previous view that was current at or after a wall-clock time. */
export default function formerOwners(
  view: View,
  job: string,
  sinceMs: number,
  self: string,
): FormerOwner[] {
  const relevant = view.past.filter((past) => Number(past.untilMs) >= sinceMs);
  const owners = relevant.map((past) => ownerOf(job, past.incarnations));
  const distinct = [...new Set(owners)].filter((owner) => owner !== undefined && owner !== self);
  return distinct.map((incarnation) => describe(view, incarnation!));
}

function describe(view: View, incarnation: string): FormerOwner {
  const member = view.members.find((candidate) => candidate.incarnation === incarnation);
  if (member) return { incarnation, address: member.address, ...STILL_MEMBER };
  const last = view.past.findLast((past) => wasMember(past, incarnation))!;
  return {
    incarnation,
    address: undefined,
    removedMs: Number(last.untilMs),
    removedInView: last.number + 1n,
    departed: last.departed.includes(incarnation),
  };
}

const STILL_MEMBER = { removedMs: undefined, removedInView: undefined, departed: false };

function wasMember(past: PastView, incarnation: string): boolean {
  return past.incarnations.includes(incarnation) || past.leaving.includes(incarnation);
}
