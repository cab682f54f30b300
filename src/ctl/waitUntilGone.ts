import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type ProcessStatus from '../operators/ProcessStatus';
import type CtlContext from './CtlContext';
import fetchStatus from './fetchStatus';
import type CommandFailure from './CommandFailure';
import type CommandReport from './CommandReport';

/** Waits until a draining process is no longer listed in the system's status; fails after `timeoutMs`. */
export default async function waitUntilGone(
  { instance, incarnation }: ProcessStatus,
  entries: readonly string[],
  timeoutMs: number,
  context: CtlContext,
): Promise<Result<CommandReport, CommandFailure>> {
  const { timer } = context;
  const startedAt = timer.now();
  for (;;) {
    const status = await fetchStatus(entries, context);
    const waitedMs = Math.round(timer.now() - startedAt);
    const isGone = status.isOk() && !isListed(status.value.processes, incarnation);
    if (isGone) {
      return ok({
        lines: [`${instance} has left after ${waitedMs} ms.`],
        json: { instance, incarnation, left: true, waitedMs },
      });
    }
    if (waitedMs >= timeoutMs) {
      return err(status.isErr() ? status.error : notGone(instance, incarnation));
    }
    await timer.sleep(POLL_INTERVAL_MS);
  }
}

const POLL_INTERVAL_MS = 250;

function isListed(processes: readonly ProcessStatus[], incarnation: string): boolean {
  return processes.some((process) => process.incarnation === incarnation);
}

function notGone(instance: string, incarnation: string): CommandFailure {
  return {
    exitCode: exitCodes.timedOut,
    lines: [`${instance} was asked to leave and is still there`],
    json: { instance, incarnation, left: false },
  };
}
