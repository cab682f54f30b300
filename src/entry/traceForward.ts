import { SpanKind } from '@opentelemetry/api';
import type { Result } from 'neverthrow';
import type { ForwardResponse, Member, Submission } from '../gen/magnoliakeel/v1/peer_pb';
import type CallError from '../link/CallError';
import type Tracer from '../observe/Tracer';

type Reply = Result<ForwardResponse, CallError>;

/** Forwards a submission to another entry within a span of its own, if tracing is on. */
export default async function traceForward(
  tracer: Tracer | undefined,
  submission: Submission,
  { instance, zone }: Member,
  forward: (submission: Submission) => Promise<Reply>,
): Promise<Reply> {
  const span = tracer?.startHop('forward', SpanKind.CLIENT, submission.traceparent);
  if (!span) return forward(submission);
  span.set({ 'owner.instance': instance, 'owner.zone': zone });
  const reply = await forward({ ...submission, traceparent: span.traceparent });
  reply.match(
    ({ result }) => span.set({ reply: result.case ?? 'nothing' }),
    ({ kind, reason }) => span.set({ reply: kind }).fail(reason),
  );
  span.end();
  return reply;
}
