import type { ServerResponse } from 'node:http';
import {
  type Answer,
  Outcome,
  type Submission,
  type TaskResult,
} from '../gen/magnoliakeel/v1/peer_pb';
import outcomeTable from './outcomeTable';
import sendBody from './sendBody';

/** Writes an answer as an HTTP response, with its outcome and, if known, its number of tasks. */
export default function respond(res: ServerResponse, submission: Submission, answer: Answer): void {
  const checked = withSortedResults(answer);
  const { status, name } = outcomeTable[checked.outcome];
  const isOutput = submission.kind === 'request' && checked.outcome === Outcome.COMPLETED;
  const body = isOutput
    ? Buffer.from(checked.results[0]!.output)
    : Buffer.from(serializeAnswer(submission, checked, name));
  if (checked.size > 0) res.setHeader('Magnoliakeel-Count', checked.size);
  sendBody(res, { status, outcome: name, body, retryAfterMs: checked.retryAfterMs });
}

/** The answer with its results in task order; a completed one with missing or duplicate results becomes `UNKNOWN`. */
function withSortedResults(answer: Answer): Answer {
  if (answer.outcome !== Outcome.COMPLETED) return answer;
  const results = [...answer.results].sort((a, b) => a.index - b.index);
  const isComplete =
    results.length === answer.size && results.every(({ index }, at) => index === at);
  if (isComplete) return { ...answer, results };
  const reason = 'the results did not arrive whole; ask for the answer again';
  return { ...answer, outcome: Outcome.UNKNOWN, results: [], reason };
}

function serializeAnswer(
  { id, service, kind }: Submission,
  answer: Answer,
  outcome: string,
): string {
  const { size, finished, reason, retryAfterMs } = answer;
  const commonFields = { ...(kind === 'job' ? { id } : {}), service, outcome, size };
  if (answer.outcome !== Outcome.COMPLETED) {
    const retry = retryAfterMs > 0 ? { retryAfterMs } : {};
    return JSON.stringify({ ...commonFields, finished, ...(reason ? { reason } : {}), ...retry });
  }
  const results = answer.results.map(serializeResult);
  return `${JSON.stringify(commonFields).slice(0, -1)},"results":[${results.join(',')}]}`;
}

function serializeResult({ index, runMs, output }: TaskResult): string {
  return `{"index":${index},"runMs":${runMs},"output":${outputAsJson(output)}}`;
}

/** The output unchanged if it is JSON, else as a JSON string. */
function outputAsJson(output: Uint8Array): string {
  const text = Buffer.from(output).toString('utf8');
  try {
    JSON.parse(text);
    return text;
  } catch {
    return JSON.stringify(text);
  }
}
