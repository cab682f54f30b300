import type ExitCode from '../core/ExitCode';
import exitCodes from '../core/exitCodes';
import describeListenError from '../core/describeListenError';
import Random from '../core/Random';
import SystemTimer from '../core/SystemTimer';
import Entry from '../entry/Entry';
import registerEntryMetrics from '../entry/registerEntryMetrics';
import ConnectNetwork from '../link/ConnectNetwork';
import createLogger from '../observe/createLogger';
import EntryMetrics from '../observe/EntryMetrics';
import MeteredNetwork from '../observe/MeteredNetwork';
import MeteredStore from '../observe/MeteredStore';
import Metrics from '../observe/Metrics';
import type UncaughtErrorHandler from '../observe/UncaughtErrorHandler';
import Traces from '../observe/Traces';
import commonRoutes from '../operators/commonRoutes';
import entryRoutes from '../operators/entryRoutes';
import OperatorServer from '../operators/OperatorServer';
import reachableAddress from '../operators/reachableAddress';
import type EntrySettings from '../settings/EntrySettings';
import HttpStore from '../store/HttpStore';
import loadTls from './loadTls';
import newIncarnation from './newIncarnation';
import randomSeed from './randomSeed';

/** Runs this process as an entry. */
export default async function runEntry(
  settings: EntrySettings,
  signal: AbortSignal,
  faults?: UncaughtErrorHandler,
): Promise<ExitCode> {
  const log = createLogger(settings.log.level);
  const timer = SystemTimer.create();
  const tls = await loadTls(settings.tls, timer, log);
  if (tls.isErr()) {
    log.error(`tls: ${tls.error}`);
    return exitCodes.badFile;
  }
  const metrics = Metrics.create(timer, 'entry');
  const random = Random.fromSeed(randomSeed());
  const incarnation = newIncarnation(settings.instance);
  const traces = Traces.create({ timer, random, metrics, incarnation, settings });
  const network = MeteredNetwork.over(ConnectNetwork.create(timer, tls.value), metrics);
  const store = HttpStore.create({
    timer,
    url: `http://${settings.store.address}`,
    client: settings.instance,
    callsPerSecond: settings.store.callsPerSecond,
    timeoutMs: settings.store.timeoutMs,
  });
  const drainRequested = new AbortController();
  let operators = '';
  const entry = Entry.create({
    settings,
    timer,
    log,
    network,
    incarnation,
    random,
    tls: tls.value,
    tracer: traces?.tracer,
    metrics: EntryMetrics.of(metrics),
    store: MeteredStore.over(store, metrics),
    operators: () => operators,
  });
  registerEntryMetrics(entry, metrics);
  faults?.registerMetrics(metrics);
  const server = OperatorServer.create([
    ...commonRoutes({
      isReady: () => entry.isReady,
      metrics: () => metrics.render(),
      drain: () => drainRequested.abort(),
    }),
    ...entryRoutes(entry, { timer, network }),
  ]);
  const operatorsListening = await server.listen(settings.listen.operators);
  if (operatorsListening.isErr()) {
    log.error(
      `cannot listen: ${settings.listen.operators}: ${describeListenError(operatorsListening.error)}`,
    );
    return exitCodes.cannotListen;
  }
  operators = reachableAddress(operatorsListening.value, settings.advertise);
  const listening = await entry.listen();
  if (listening.isErr()) {
    log.error(`cannot listen: ${listening.error}`);
    return exitCodes.cannotListen;
  }
  const { callers, peers } = listening.value;
  log.info(`entry ${settings.instance} listens for callers on ${callers}, for peers on ${peers}`);
  log.info(`listening for operators on ${operatorsListening.value}`);
  if (!tls.value) log.info('connections are without TLS: the settings name no certificates');
  faults?.surviveErrors(() => workCountsOf(entry), log);
  const ended = await entry.run(AbortSignal.any([signal, drainRequested.signal]));
  await traces?.close();
  await server.close();
  log.info(`entry ${settings.instance} has ${ended === 'removed' ? 'been removed' : 'stopped'}`);
  return ended === 'removed' ? exitCodes.removed : exitCodes.ok;
}

/** Counts of an entry's work in progress, which are logged with an uncaught error. */
function workCountsOf({ jobs, dispatcher, entryLinks, sidecarLinks }: Entry) {
  return {
    jobs: jobs.openCount,
    tasksRunning: dispatcher.inFlight,
    entryLinks: entryLinks.linked().length,
    sidecars: sidecarLinks.all().filter(({ link }) => link).length,
  };
}
