import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type CtlContext from './CtlContext';
import type OperatorAnswer from './OperatorAnswer';
import type Problem from './Problem';

/** Asks the entries one after the other until one answers. */
export default async function askEntries(
  entries: readonly string[],
  path: string,
  { operators }: CtlContext,
): Promise<Result<OperatorAnswer, Problem>> {
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
