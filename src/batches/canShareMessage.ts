import type BatchTask from './BatchTask';
import type SidecarPeer from './SidecarPeer';

/**
 * Whether a further task of a batch is dispatched in the message that is being assembled for a
 * sidecar. Under high load the links of entries are full of start requests, each of which repeats
 * the batch's data for the backend server: sharing a message sends that once, and wakes entry and
 * sidecar once. A large batch is still spread over several backend servers, since it is as late as
 * the slowest of them.
 */
export default function canShareMessage(
  { free }: SidecarPeer,
  { step }: BatchTask,
  tasksInMessage: number,
): boolean {
  return tasksInMessage < MAX_TASKS_PER_MESSAGE && free.covers(step.needs);
}

/** Most tasks of a batch in one message. */
const MAX_TASKS_PER_MESSAGE = 4;
