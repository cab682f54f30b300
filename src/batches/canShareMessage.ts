import type BatchTask from './BatchTask';
import type SidecarPeer from './SidecarPeer';

/**
 * Whether a further task of a batch goes along in the order that is being made for a sidecar. It answers the load in
 * which the links of entries are full of orders, each of which repeats what the backend server is told of the batch:
 * for what goes together that is sent once, and sidecar and entry wake once for it. A large batch still goes to several backend servers, since it is as
 * late as the slowest of them.
 */
export default function canShareMessage(
  { free }: SidecarPeer,
  { step }: BatchTask,
  ordered: number,
): boolean {
  return ordered < TOGETHER && free.covers(step.needs);
}

/** Most tasks of a batch in one order. */
const TOGETHER = 4;
