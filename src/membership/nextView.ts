import { create } from '@bufbuild/protobuf';
import {
  PastViewSchema,
  ViewSchema,
  type Member,
  type PastView,
  type View,
} from '../gen/magnoliakeel/v1/peer_pb';

/**
 * The view that follows another one, with new members. The replaced view joins
 * the past ones; those that ended longer than `keepMs` ago are dropped.
 * `departed` are members of the replaced view that left nothing open.
 */
export default function nextView(
  view: View,
  members: readonly Member[],
  nowMs: number,
  keepMs: number,
  departed: readonly string[] = [],
): View {
  const now = BigInt(Math.floor(nowMs));
  // Clocks of different entries may differ; a view never ends before it began.
  const sinceMs = now > view.sinceMs ? now : view.sinceMs;
  const oldest = now - BigInt(Math.ceil(keepMs));
  return create(ViewSchema, {
    number: view.number + 1n,
    sinceMs,
    members: [...members],
    past: [...view.past, ...replaced(view, sinceMs, departed)].filter(
      ({ untilMs }) => untilMs >= oldest,
    ),
  });
}

function replaced(view: View, untilMs: bigint, departed: readonly string[]): PastView[] {
  if (view.number === 0n) return [];
  const { number, sinceMs, members } = view;
  const namesOf = (isLeaving: boolean) =>
    members.filter((member) => member.leaving === isLeaving).map(({ incarnation }) => incarnation);
  const names = { incarnations: namesOf(false), leaving: namesOf(true), departed: [...departed] };
  return [create(PastViewSchema, { number, sinceMs, untilMs, ...names })];
}
