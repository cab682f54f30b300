import leavesReserve from '../sharing/leavesReserve';
import type BatchPolicy from './BatchPolicy';

/** Capacity of each backend server that is reserved for urgent queues. */
interface Reserve {
  /** In thousandths of a core; 0 for none. */
  readonly cpuMilli: number;
  /** Queues with a priority below this number may use it. */
  readonly urgentBelow: number;
}

/**
 * A policy under which batches of less urgent queues start only where the reserve stays free. A
 * batch that has started may also use the reserve, because its answer waits for the last of its
 * tasks.
 */
export default function withReserve(policy: BatchPolicy, reserve: Reserve): BatchPolicy {
  const { cpuMilli, urgentBelow } = reserve;
  if (cpuMilli === 0) return policy;
  return {
    ...policy,
    choose: (choice) => {
      const { batch, task, peers } = choice;
      const isUrgent = batch.submission.queue.priority < urgentBelow;
      if (isUrgent || batch.startsSent > 0) return policy.choose(choice);
      const eligible = [...peers].filter((peer) => leavesReserve(peer, task.step.needs, cpuMilli));
      return policy.choose({ ...choice, peers: eligible });
    },
  };
}
