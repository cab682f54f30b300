import { create } from '@bufbuild/protobuf';
import {
  PastViewSchema,
  ViewSchema,
  type Member,
  type PastView,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';

/**
 * Returns the successor of a view, with new members. The replaced view is added
 * to the previous views; those that ended more than `retentionMs` ago are dropped.
 * `departed` are the members of the replaced view that left gracefully, without open jobs.
 */
export default function nextView(
  view: View,
  members: readonly Member[],
  nowMs: number,
  retentionMs: number,
  departed: readonly string[] = [],
): View {
  const now = BigInt(Math.floor(nowMs));
  // The clocks of entries may differ; a view must not end before it began.
  const sinceMs = now > view.sinceMs ? now : view.sinceMs;
  const oldest = now - BigInt(Math.ceil(retentionMs));
  return create(ViewSchema, {
    number: view.number + 1n,
    sinceMs,
    members: [...members],
    past: [...view.past, ...previousViewOf(view, sinceMs, departed)].filter(
      ({ untilMs }) => untilMs >= oldest,
    ),
  });
}

function previousViewOf(view: View, untilMs: bigint, departed: readonly string[]): PastView[] {
  if (view.number === 0n) return [];
  const { number, sinceMs, members } = view;
  const incarnationsOf = (isLeaving: boolean) =>
    members.filter((member) => member.leaving === isLeaving).map(({ incarnation }) => incarnation);
  const groups = {
    incarnations: incarnationsOf(false),
    leaving: incarnationsOf(true),
    departed: [...departed],
  };
  return [create(PastViewSchema, { number, sinceMs, untilMs, ...groups })];
}
