import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type SystemStatus from '../operators/SystemStatus';
import requestFromAnyEntry from './requestFromAnyEntry';
import type CtlContext from './CtlContext';
import type CommandFailure from './CommandFailure';

/** Fetches the system's status from the first entry that answers. */
export default async function fetchStatus(
  entries: readonly string[],
  context: CtlContext,
): Promise<Result<SystemStatus, CommandFailure>> {
  const answer = await requestFromAnyEntry(entries, '/v1/status', context);
  if (answer.isErr()) return err(answer.error);
  const { status, body } = answer.value;
  if (status === 200) return ok(body as SystemStatus);
  return err({
    exitCode: exitCodes.unreachable,
    lines: [`the entry cannot tell the status: ${JSON.stringify(body)}`],
  });
}
