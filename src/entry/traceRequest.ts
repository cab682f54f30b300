import type CallerSubmission from '../callers/CallerSubmission';
import { Action, type Answer, Outcome } from '../gen/magnoliakeel/v1/peer_pb';
import enumLabels from '../observe/enumLabels';
import type Tracer from '../observe/Tracer';

/** Answers a caller's request within a span of its own, if tracing is on. */
export default async function traceRequest(
  tracer: Tracer | undefined,
  request: CallerSubmission,
  answerTo: (request: CallerSubmission) => Promise<Answer>,
): Promise<Answer> {
  const { submission } = request;
  const span = tracer?.startRequest('request', submission.traceparent);
  if (!span) return answerTo(request);
  const { service, kind, id, team, inputs, action } = submission;
  span.set({ service, kind, id, team, tasks: inputs.length, action: actions[action]! });
  const { traceparent } = span;
  const answer = await answerTo({ ...request, submission: { ...submission, traceparent } });
  span.set({ outcome: outcomes[answer.outcome]! });
  if (answer.reason !== '') span.fail(answer.reason);
  span.end();
  return answer;
}

const actions = enumLabels(Action);
const outcomes = enumLabels(Outcome);
