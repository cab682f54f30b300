import { SpanKind } from '@opentelemetry/api';
import type Tracer from '../observe/Tracer';
import type Placement from './Placement';
import type PolicyName from './PolicyName';
import type QueuedTask from './QueuedTask';
import type SidecarPeer from './SidecarPeer';

/** What led to the start of a task, for its span. */
interface StartDecision {
  readonly policy: PolicyName;
  readonly place: Placement;
  readonly peer: SidecarPeer | undefined;
  /** Idle credits of the service that are left. */
  readonly idle: number;
  /** Queued tasks of the service that are left. */
  readonly queued: number;
}

/**
 * Records a span of a task's time in the queue, with the placement chosen, if the task is traced.
 * Returns the `traceparent` for its start message.
 */
export default function traceStart(
  tracer: Tracer | undefined,
  task: QueuedTask,
  { policy, place, peer, idle, queued }: StartDecision,
): string {
  const since = task.requeued?.at ?? task.queuedAt;
  const span = tracer?.startHop('queue', SpanKind.INTERNAL, task.traceparent, since);
  if (!span) return task.traceparent;
  const { index, attempt, team, service } = task;
  span.set({ service, team, task: index, attempt, policy });
  span.set({ 'chosen.sidecar': peer?.instance ?? place.sidecar, 'chosen.zone': peer?.zone ?? '' });
  const { credit } = place;
  if (credit) span.set({ 'chosen.slot': credit.slot, 'chosen.generation': credit.generation });
  span.set({
    'chosen.because': POLICY_REASONS[policy],
    'credits.left': idle,
    'queue.left': queued,
  });
  if (task.requeued) span.set({ 'requeued.because': task.requeued.reason });
  span.end();
  return span.traceparent;
}

const POLICY_REASONS: Readonly<Record<PolicyName, string>> = {
  credits: 'most idle credits of the sidecars not suspected',
  leastOutstanding: 'fewest tasks of this entry outstanding',
  powerOfTwo: 'fewer tasks of this entry outstanding of two picked at random',
  roundRobin: 'next in turn',
  random: 'picked at random',
};
