import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type ProcessStatus from '../operators/ProcessStatus';
import type CtlContext from './CtlContext';
import fetchStatus from './fetchStatus';
import type Problem from './Problem';
import type Report from './Report';

/** Waits until a process that was asked to leave is gone from the system's status. */
export default async function waitGone(
  { instance, incarnation }: ProcessStatus,
  entries: readonly string[],
  limitMs: number,
  context: CtlContext,
): Promise<Result<Report, Problem>> {
  const { timer } = context;
  const startedAt = timer.now();
  for (;;) {
    const status = await fetchStatus(entries, context);
    const tookMs = Math.round(timer.now() - startedAt);
    const isGone = status.isOk() && !isListed(status.value.processes, incarnation);
    if (isGone) {
      return ok({
        lines: [`${instance} has left after ${tookMs} ms.`],
        json: { instance, incarnation, left: true, waitedMs: tookMs },
      });
    }
    if (tookMs >= limitMs) {
      return err(status.isErr() ? status.error : stillThere(instance, incarnation));
    }
    await timer.sleep(POLL_MS);
  }
}

const POLL_MS = 250;

function isListed(processes: readonly ProcessStatus[], incarnation: string): boolean {
  return processes.some((process) => process.incarnation === incarnation);
}

function stillThere(instance: string, incarnation: string): Problem {
  return {
    exitCode: exitCodes.timedOut,
    lines: [`${instance} was asked to leave and is still there`],
    json: { instance, incarnation, left: false },
  };
}
