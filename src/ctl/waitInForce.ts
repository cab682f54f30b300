import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type ProcessStatus from '../operators/ProcessStatus';
import type SystemStatus from '../operators/SystemStatus';
import type CtlContext from './CtlContext';
import fetchStatus from './fetchStatus';
import formatTable from './formatTable';
import type Problem from './Problem';
import type Report from './Report';

/**
 * Waits until every live process, entries of the view and sidecars linked to
 * them, reports the version or a newer one in force. When the time is over
 * first, the others are named.
 */
export default async function waitInForce(
  version: number,
  entries: readonly string[],
  limitMs: number,
  context: CtlContext,
): Promise<Result<Report, Problem>> {
  const { timer } = context;
  const startedAt = timer.now();
  for (;;) {
    const status = await fetchStatus(entries, context);
    const tookMs = Math.round(timer.now() - startedAt);
    const late = status.isOk() ? lateOnes(status.value, version) : [];
    // An entry without a view has only just started and doesn't know the others.
    const isTelling = status.isOk() && status.value.viewNumber > 0;
    if (isTelling && late.length === 0) return ok(allThere(status.value, version, tookMs));
    if (tookMs >= limitMs) return err(status.isErr() ? status.error : missing(late, version));
    await timer.sleep(POLL_MS);
  }
}

const POLL_MS = 250;

function lateOnes({ processes }: SystemStatus, version: number): ProcessStatus[] {
  return processes.filter(({ configurationVersion }) => configurationVersion < version);
}

function allThere({ processes }: SystemStatus, version: number, tookMs: number): Report {
  const newest = Math.max(...processes.map(({ configurationVersion }) => configurationVersion));
  const newer = newest > version ? ` Version ${newest} has come after it.` : '';
  return {
    lines: [
      `Version ${version} is in force at all ${processes.length} processes, ${tookMs} ms after the apply.${newer}`,
    ],
    json: { processes: processes.length, newest, waitedMs: tookMs },
  };
}

function missing(late: readonly ProcessStatus[], version: number): Problem {
  const rows = late.map(({ role, instance, zone, configurationVersion, reachable }) => [
    instance,
    role,
    zone,
    configurationVersion,
    reachable ? 'answers' : 'does not answer',
  ]);
  const table = formatTable([['INSTANCE', 'ROLE', 'ZONE', 'VERSION', 'STATE'], ...rows]);
  return {
    exitCode: exitCodes.timedOut,
    lines: [`version ${version} is not in force at ${late.length} processes:`, ...table],
    json: {
      version,
      missing: late.map(({ instance, role, zone, configurationVersion, reachable }) => ({
        instance,
        role,
        zone,
        configurationVersion,
        reachable,
      })),
    },
  };
}
