import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type SystemStatus from '../operators/SystemStatus';
import askEntries from './askEntries';
import type CtlContext from './CtlContext';
import type Problem from './Problem';

/** The system's status from the first entry that answers. */
export default async function fetchStatus(
  entries: readonly string[],
  context: CtlContext,
): Promise<Result<SystemStatus, Problem>> {
  const answer = await askEntries(entries, '/v1/status', context);
  if (answer.isErr()) return err(answer.error);
  const { status, body } = answer.value;
  if (status === 200) return ok(body as SystemStatus);
  return err({
    exitCode: exitCodes.unreachable,
    lines: [`the entry cannot tell the status: ${JSON.stringify(body)}`],
  });
}
