import { execFileSync } from 'node:child_process';
import { setMaxListeners } from 'node:events';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import Random from '../../src/core/Random';
import SystemTimer from '../../src/core/SystemTimer';
import type TimerService from '../../src/core/TimerService';
import Checker from './Checker';
import type Fault from './Fault';
import JobSender from './JobSender';
import planFaults from './planFaults';
import SoakCaller from './SoakCaller';
import applyFault from './applyFault';
import type SendingWayMix from './SendingWayMix';
import SoakDeployment from './SoakDeployment';

interface SoakOptions {
  readonly seed: number;
  /** Duration of the faults, s; callers run at least this long. */
  readonly seconds: number;
  readonly entries: number;
  readonly sidecars: number;
  readonly callers: number;
  /** How callers send some of the jobs; if absent, each is sent to one entry at a time. */
  readonly unusual?: SendingWayMix;
  /** The faults; drawn from the seed if absent. */
  readonly faults?: readonly Fault[];
  /** Folder of prebuilt bundles; the current code is built if absent. */
  readonly bundles?: string;
  /** Folder to write log lines, faults and findings to if a guarantee was violated. */
  readonly out?: string;
}

/** Runs real processes under faults; resolves to the checker once all of them have ended. */
export default async function runSoak(opts: SoakOptions): Promise<Checker> {
  const timer = SystemTimer.create();
  const random = Random.fromSeed(opts.seed);
  const folder = mkdtempSync(path.join(tmpdir(), 'soak-'));
  const bundles = opts.bundles ?? path.join(folder, 'bundles');
  if (!opts.bundles) execFileSync(process.execPath, ['scripts/buildPlatform.mjs', bundles]);
  const { entries, sidecars, seconds } = opts;
  const checker = Checker.create(timer);
  // Faults are drawn before anything runs, so that they depend on the seed only and not on the timing.
  const names = (role: string, count: number): string[] =>
    [...Array(count).keys()].map((number) => `${role}-${number + 1}`);
  const shape = { entries: names('entry', entries), sidecars: names('sidecar', sidecars) };
  const faults = opts.faults ?? planFaults(random, { ...shape, endMs: seconds * 1_000 });
  const deployment = await SoakDeployment.start({
    timer,
    random,
    checker,
    entries,
    sidecars,
    bundles,
    folder,
  });
  try {
    await runUnderFaults(deployment, checker, timer, random, faults, opts);
  } finally {
    await deployment.close();
    rmSync(folder, { recursive: true });
  }
  if (checker.findings.length > 0 && opts.out !== undefined)
    saveResults(opts.out, deployment, checker, faults);
  return checker;
}

async function runUnderFaults(
  deployment: SoakDeployment,
  checker: Checker,
  timer: TimerService,
  random: Random,
  faults: readonly Fault[],
  opts: SoakOptions,
): Promise<void> {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const { entries } = deployment;
  // Callers stay with the entry they reach, so each entry gets one more caller that knows only this entry.
  const reachable = [
    ...Array<typeof deployment.callerAddresses>(opts.callers).fill(deployment.callerAddresses),
    ...[...deployment.callerAddresses].map((each) => new Map([each])),
  ];
  const callers = reachable.map((known, number) => {
    const own = Random.fromSeed(opts.seed * 1_000 + number);
    const wayRandom = Random.fromSeed(opts.seed * 1_000 + WAY_SEED_OFFSET + number);
    const logLine = (text: string): void => deployment.logLine(text);
    const { unusual } = opts;
    const { connections } = deployment;
    const common = { timer, checker, entries: known, unusual, connections, logLine };
    return SoakCaller.run({ ...common, random: own, wayRandom }, stop.signal);
  });
  const changes = deployment.changeConfiguration(stop.signal);
  const injections = faults.map(async (fault) => {
    await timer.sleep(fault.atMs);
    const end = applyFault(deployment, fault, checker);
    await timer.sleep(fault.forMs);
    end();
  });
  await Promise.all([...injections, timer.sleep(opts.seconds * 1_000)]);
  await deployment.waitUntilRunning(SETTLE_MS);
  const lastFaultAt = timer.now();
  deployment.logLine('the last fault has ended');
  while (
    !checker.haveServedSince(entries, lastFaultAt) &&
    timer.now() < lastFaultAt + MAX_RECOVERY_MS
  ) {
    await timer.sleep(100);
  }
  stop.abort();
  await Promise.all([...callers, changes]);
  await checkAfterSilence(deployment, checker, timer);
  await timer.sleep(LEASE_EXPIRY_MS);
  checker.checkAtEnd(entries, lastFaultAt);
}

/**
 * Silences all open connections, and checks what holds once the processes are in touch again: a configuration is in force
 * in time, and no entry runs a copy of a job that was cancelled, whatever was restarted since.
 */
async function checkAfterSilence(
  deployment: SoakDeployment,
  checker: Checker,
  timer: TimerService,
): Promise<void> {
  // All watches of the store begin anew at a change, so they are as young as can be when they go silent.
  deployment.configure();
  await timer.sleep(SILENT_AFTER_MS);
  deployment.silenceConnections();
  checker.lastDisturbed();
  await timer.sleep(CONTACT_MS);
  deployment.configure();
  const { version } = deployment;
  await timer.sleep(CONFIGURATION_MS);
  deployment.entries
    .filter((entry) => checker.versionOf(entry) < version)
    .forEach((entry) => checker.report('a configuration is in force too late', entry));
  const senders = [...deployment.callerAddresses].map((entry) =>
    JobSender.create({
      ...{ timer, checker, random: Random.fromSeed(0), entries: new Map([entry]) },
      ...{ connections: deployment.connections, logLine: (text) => deployment.logLine(text) },
    }),
  );
  const sendAll = async (sender: JobSender): Promise<void> => {
    for (const job of checker.cancelledJobs) await sender.send(job);
    await sender.close(sender.connection);
  };
  await Promise.all(senders.map(sendAll));
}

function saveResults(
  out: string,
  deployment: SoakDeployment,
  checker: Checker,
  faults: readonly Fault[],
): void {
  mkdirSync(out, { recursive: true });
  const write = (name: string, text: string): void => writeFileSync(path.join(out, name), text);
  write('lines.log', `${deployment.logLines.join('\n')}\n`);
  write('faults.json', JSON.stringify(faults, undefined, 1));
  write('findings.json', JSON.stringify(checker.findings, undefined, 1));
}

/** Offset of the seeds that decide how jobs are sent, so that the jobs don't depend on how they are sent. */
const WAY_SEED_OFFSET = 500;

/** All processes run again within this time after the last fault, ms: a graceful shutdown takes up to 7 s. */
const SETTLE_MS = 15_000;

/** Each entry has to serve again within this time after the last fault, ms. */
const MAX_RECOVERY_MS = 12_000;

/** Processes whose connections have gone silent are in touch again after this time, ms (`contact_ms`). */
const CONTACT_MS = 3_000;

/** Time from a change of the configuration until connections go silent, ms. */
const SILENT_AFTER_MS = 300;

/** A configuration is in force at all entries within this time, ms (`config_apply_ms`). */
const CONFIGURATION_MS = 2_000;

/** Runs left after the last answer end with their lease within this time, ms. */
const LEASE_EXPIRY_MS = 2_000;
