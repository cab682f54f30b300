import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type CtlContext from './CtlContext';
import type OperatorAnswer from './OperatorAnswer';
import type CommandFailure from './CommandFailure';

/** Sends a GET request to the entries in order and returns the first response. Fails if no entry answers. */
export default async function requestFromAnyEntry(
  entries: readonly string[],
  path: string,
  { operators }: CtlContext,
): Promise<Result<OperatorAnswer, CommandFailure>> {
  const reasons: string[] = [];
  for (const entry of entries) {
    const answer = await operators.request('GET', entry, path);
    if (answer.isOk()) return ok(answer.value);
    reasons.push(`${entry}: ${answer.error}`);
  }
  return err({
    exitCode: exitCodes.unreachable,
    lines: ['no entry answers', ...reasons.map((reason) => `  ${reason}`)],
    json: { entries: reasons },
  });
}
