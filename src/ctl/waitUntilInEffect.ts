import { err, ok, type Result } from 'neverthrow';
import exitCodes from '../core/exitCodes';
import type ProcessStatus from '../operators/ProcessStatus';
import type SystemStatus from '../operators/SystemStatus';
import type CtlContext from './CtlContext';
import fetchStatus from './fetchStatus';
import formatTable from './formatTable';
import type CommandFailure from './CommandFailure';
import type CommandReport from './CommandReport';

/**
 * Waits until every live process (the entries of the view and the sidecars linked
 * to them) reports the version or a newer one as active. Fails after `timeoutMs`
 * and names the processes that do not.
 */
export default async function waitUntilInEffect(
  version: number,
  entries: readonly string[],
  timeoutMs: number,
  context: CtlContext,
): Promise<Result<CommandReport, CommandFailure>> {
  const { timer } = context;
  const startedAt = timer.now();
  for (;;) {
    const status = await fetchStatus(entries, context);
    const tookMs = Math.round(timer.now() - startedAt);
    const outdated = status.isOk() ? outdatedProcesses(status.value, version) : [];
    // An entry without a view has only just started and does not know the other processes.
    const hasView = status.isOk() && status.value.viewNumber > 0;
    if (hasView && outdated.length === 0) return ok(inEffectReport(status.value, version, tookMs));
    if (tookMs >= timeoutMs)
      return err(status.isErr() ? status.error : timeoutFailure(outdated, version));
    await timer.sleep(POLL_INTERVAL_MS);
  }
}

const POLL_INTERVAL_MS = 250;

function outdatedProcesses({ processes }: SystemStatus, version: number): ProcessStatus[] {
  return processes.filter(({ configurationVersion }) => configurationVersion < version);
}

function inEffectReport(
  { processes }: SystemStatus,
  version: number,
  tookMs: number,
): CommandReport {
  const newest = Math.max(...processes.map(({ configurationVersion }) => configurationVersion));
  const newer = newest > version ? ` Version ${newest} has come after it.` : '';
  return {
    lines: [
      `Version ${version} is in force at all ${processes.length} processes, ${tookMs} ms after the apply.${newer}`,
    ],
    json: { processes: processes.length, newest, waitedMs: tookMs },
  };
}

function timeoutFailure(outdated: readonly ProcessStatus[], version: number): CommandFailure {
  const rows = outdated.map(({ role, instance, zone, configurationVersion, reachable }) => [
    instance,
    role,
    zone,
    configurationVersion,
    reachable ? 'answers' : 'does not answer',
  ]);
  const table = formatTable([['INSTANCE', 'ROLE', 'ZONE', 'VERSION', 'STATE'], ...rows]);
  return {
    exitCode: exitCodes.timedOut,
    lines: [`version ${version} is not in force at ${outdated.length} processes:`, ...table],
    json: {
      version,
      missing: outdated.map(({ instance, role, zone, configurationVersion, reachable }) => ({
        instance,
        role,
        zone,
        configurationVersion,
        reachable,
      })),
    },
  };
}
