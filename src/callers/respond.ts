import type { ServerResponse } from 'node:http';
import {
  type Answer,
  Outcome,
  type Submission,
  type TaskResult,
} from '../gen/magnoliakeel/v1/peer_pb';
import outcomeTable from './outcomeTable';

/** Writes an answer with its outcome, its length and, for a job, its number of tasks. */
export default function respond(res: ServerResponse, submission: Submission, answer: Answer): void {
  const { status, name } = outcomeTable[answer.outcome];
  const isRequest = submission.kind === 'request' && answer.outcome === Outcome.COMPLETED;
  const body = isRequest
    ? Buffer.from(answer.results[0]!.output)
    : Buffer.from(jobBody(submission, answer, name));
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    'Magnoliakeel-Outcome': name,
  };
  if (answer.size > 0) headers['Magnoliakeel-Count'] = answer.size;
  if (answer.retryAfterMs > 0) headers['Retry-After'] = Math.ceil(answer.retryAfterMs / 1000);
  res.writeHead(status, headers);
  res.end(body);
}

function jobBody({ id, service }: Submission, answer: Answer, outcome: string): string {
  const { size, finished, reason, retryAfterMs } = answer;
  const head = { id, service, outcome, size };
  if (answer.outcome !== Outcome.COMPLETED) {
    const retry = retryAfterMs > 0 ? { retryAfterMs } : {};
    return JSON.stringify({ ...head, finished, ...(reason ? { reason } : {}), ...retry });
  }
  const results = [...answer.results].sort((a, b) => a.index - b.index).map(resultBody);
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
