import { SpanKind } from '@opentelemetry/api';
import type Tracer from '../observe/Tracer';
import type HeldCredit from './HeldCredit';
import type QueuedTask from './QueuedTask';
import type SidecarPeer from './SidecarPeer';

/** What is known when a task is about to be started. */
interface Decision {
  readonly held: HeldCredit;
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
  { held, peer, idle, queued }: Decision,
): string {
  const since = task.requeued?.at ?? task.queuedAt;
  const span = tracer?.hop('queue', SpanKind.INTERNAL, task.traceparent, since);
  if (!span) return task.traceparent;
  const { index, attempt, team, service } = task;
  span.set({ service, team, task: index, attempt, policy: 'credits' });
  span.set({ 'chosen.sidecar': peer?.instance ?? held.sidecar, 'chosen.zone': peer?.zone ?? '' });
  span.set({ 'chosen.slot': held.credit.slot, 'chosen.generation': held.credit.generation });
  span.set({ 'chosen.because': BECAUSE, 'credits.left': idle, 'queue.left': queued });
  if (task.requeued) span.set({ 'requeued.because': task.requeued.because });
  span.end();
  return span.traceparent;
}

const BECAUSE = 'most idle credits of the sidecars not suspected';
