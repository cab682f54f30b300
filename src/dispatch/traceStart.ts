import { SpanKind } from '@opentelemetry/api';
import type Tracer from '../observe/Tracer';
import type Placement from './Placement';
import type PolicyName from './PolicyName';
import type QueuedTask from './QueuedTask';
import type SidecarPeer from './SidecarPeer';

/** What is known when a task is about to be started. */
interface Decision {
  readonly policy: PolicyName;
  readonly place: Placement;
  readonly peer: SidecarPeer | undefined;
  /** Credits that stay idle for the service. */
  readonly idle: number;
  /** Tasks that stay in the queue of the service. */
  readonly queued: number;
}

/**
 * Tells of a task's time in the queue and of the choice that ended it, when the task is traced.
 * Returns what its start is to carry as `traceparent`.
 */
export default function traceStart(
  tracer: Tracer | undefined,
  task: QueuedTask,
  { policy, place, peer, idle, queued }: Decision,
): string {
  const since = task.requeued?.at ?? task.queuedAt;
  const span = tracer?.hop('queue', SpanKind.INTERNAL, task.traceparent, since);
  if (!span) return task.traceparent;
  const { index, attempt, team, service } = task;
  span.set({ service, team, task: index, attempt, policy });
  span.set({ 'chosen.sidecar': peer?.instance ?? place.sidecar, 'chosen.zone': peer?.zone ?? '' });
  const { credit } = place;
  if (credit) span.set({ 'chosen.slot': credit.slot, 'chosen.generation': credit.generation });
  span.set({ 'chosen.because': reasons[policy], 'credits.left': idle, 'queue.left': queued });
  if (task.requeued) span.set({ 'requeued.because': task.requeued.because });
  span.end();
  return span.traceparent;
}

const reasons: Readonly<Record<PolicyName, string>> = {
  credits: 'most idle credits of the sidecars not suspected',
  leastOutstanding: 'fewest tasks of this entry outstanding',
  powerOfTwo: 'fewer tasks of this entry outstanding of two picked at random',
  roundRobin: 'next in turn',
  random: 'picked at random',
};
