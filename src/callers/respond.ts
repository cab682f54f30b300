import type { ServerResponse } from 'node:http';
import {
  type Answer,
  Outcome,
  type Submission,
  type TaskResult,
} from '../gen/magnoliakeel/v1/peer_pb';
import outcomeTable from './outcomeTable';
import sendBody from './sendBody';

/** Writes an answer with its outcome, its length and, for a job, its number of tasks. */
export default function respond(res: ServerResponse, submission: Submission, answer: Answer): void {
  const whole = inOrder(answer);
  const { status, name } = outcomeTable[whole.outcome];
  const isOutput = submission.kind === 'request' && whole.outcome === Outcome.COMPLETED;
  const body = isOutput
    ? Buffer.from(whole.results[0]!.output)
    : Buffer.from(bodyOf(submission, whole, name));
  if (whole.size > 0) res.setHeader('Magnoliakeel-Count', whole.size);
  sendBody(res, { status, outcome: name, body, retryAfterMs: whole.retryAfterMs });
}

/** The answer with its results in order; a completed one that lacks some, or has one twice, is none. */
function inOrder(answer: Answer): Answer {
  if (answer.outcome !== Outcome.COMPLETED) return answer;
  const results = [...answer.results].sort((a, b) => a.index - b.index);
  const isWhole = results.length === answer.size && results.every(({ index }, at) => index === at);
  if (isWhole) return { ...answer, results };
  const reason = 'the results did not arrive whole; ask for the answer again';
  return { ...answer, outcome: Outcome.UNKNOWN, results: [], reason };
}

function bodyOf({ id, service, kind }: Submission, answer: Answer, outcome: string): string {
  const { size, finished, reason, retryAfterMs } = answer;
  const head = { ...(kind === 'job' ? { id } : {}), service, outcome, size };
  if (answer.outcome !== Outcome.COMPLETED) {
    const retry = retryAfterMs > 0 ? { retryAfterMs } : {};
    return JSON.stringify({ ...head, finished, ...(reason ? { reason } : {}), ...retry });
  }
  const results = answer.results.map(resultBody);
  return `${JSON.stringify(head).slice(0, -1)},"results":[${results.join(',')}]}`;
}

function resultBody({ index, runMs, output }: TaskResult): string {
  return `{"index":${index},"runMs":${runMs},"output":${outputText(output)}}`;
}

/** The output as it is when it is JSON, else as a string. */
function outputText(output: Uint8Array): string {
  const text = Buffer.from(output).toString('utf8');
  try {
    JSON.parse(text);
    return text;
  } catch {
    return JSON.stringify(text);
  }
}
