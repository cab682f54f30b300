import type { View } from '../gen/magnoliakeel/v1/peer_pb';

/** Whether the entry incarnation belongs to the view. */
export default function isMember(view: View, incarnation: string): boolean {
  return view.members.some((member) => member.incarnation === incarnation);
}
