import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import describeListenError from '../core/describeListenError';
import Random from '../core/Random';
import SystemTimer from '../core/SystemTimer';
import ConnectNetwork from '../link/ConnectNetwork';
import createLogger from '../observe/createLogger';
import MeteredNetwork from '../observe/MeteredNetwork';
import Metrics from '../observe/Metrics';
import type UncaughtErrorHandler from '../observe/UncaughtErrorHandler';
import Traces from '../observe/Traces';
import commonRoutes from '../operators/commonRoutes';
import OperatorServer from '../operators/OperatorServer';
import reachableAddress from '../operators/reachableAddress';
import type SidecarSettings from '../settings/SidecarSettings';
import AnnouncementServer from '../sidecar/AnnouncementServer';
import registerSidecarMetrics from '../sidecar/registerSidecarMetrics';
import Sidecar from '../sidecar/Sidecar';
import SidecarCounters from '../sidecar/SidecarCounters';
import UndiciBackendClient from '../sidecar/UndiciBackendClient';
import loadTls from './loadTls';
import newIncarnation from './newIncarnation';
import randomSeed from './randomSeed';

/** Runs this process as a sidecar. */
export default async function runSidecar(
  settings: SidecarSettings,
  signal: AbortSignal,
  faults?: UncaughtErrorHandler,
): Promise<ExitCode> {
  const { cluster, instance, zone, entries, links, heartbeat } = settings;
  const log = createLogger(settings.log.level);
  const timer = SystemTimer.create();
  const tls = await loadTls(settings.tls, timer, log);
  if (tls.isErr()) {
    log.error(`tls: ${tls.error}`);
    return exitCodes.badFile;
  }
  const metrics = Metrics.create(timer, 'sidecar');
  const counters = SidecarCounters.create();
  const random = Random.fromSeed(randomSeed());
  const incarnation = newIncarnation(instance);
  const traces = Traces.create({ timer, random, metrics, incarnation, settings });
  const drainRequested = new AbortController();
  let operators = '';
  const sidecar = Sidecar.create({
    timer,
    counters,
    cluster,
    instance,
    zone,
    entries,
    links,
    heartbeat,
    random,
    incarnation,
    tracer: traces?.tracer,
    network: MeteredNetwork.over(ConnectNetwork.create(timer, tls.value), metrics),
    client: UndiciBackendClient.create(),
    ledgerBytes: settings.ledger.bytes,
    skewMs: settings.ledger.clockSkewMs,
    renewMs: settings.backend.renewMs,
    drainMs: settings.stop.drainMs,
    operatorsAddress: () => operators,
    log: (line) => log.info(line),
  });
  registerSidecarMetrics(sidecar, counters, metrics);
  faults?.registerMetrics(metrics);
  const server = OperatorServer.create(
    commonRoutes({
      isReady: () => sidecar.isReady,
      metrics: () => metrics.render(),
      drain: () => drainRequested.abort(),
    }),
  );
  const desk = AnnouncementServer.create({
    onAnnounce: (backend) => sidecar.announce(backend),
    onWithdraw: () => sidecar.withdrawBackend(),
  });
  const operatorsListening = await server.listen(settings.listen.operators);
  if (operatorsListening.isErr()) {
    log.error(
      `cannot listen: ${settings.listen.operators}: ${describeListenError(operatorsListening.error)}`,
    );
    return exitCodes.cannotListen;
  }
  operators = reachableAddress(operatorsListening.value);
  log.info(`listening for operators on ${operatorsListening.value}`);
  try {
    const address = await desk.listen(settings.listen.backend);
    log.info(`sidecar ${instance} listens for its backend server on ${address}`);
  } catch (error) {
    log.error(`cannot listen: ${settings.listen.backend}: ${describeListenError(error as Error)}`);
    return exitCodes.cannotListen;
  }
  if (!tls.value) log.info('connections are without TLS: the settings name no certificates');
  faults?.surviveErrors(
    () => ({ tasksRunning: sidecar.runningCount, entryLinks: sidecar.linkCount }),
    log,
  );
  await sidecar.run(AbortSignal.any([signal, drainRequested.signal]));
  await desk.close();
  await traces?.close();
  await server.close();
  log.info(`sidecar ${instance} has stopped`);
  return exitCodes.ok;
}
